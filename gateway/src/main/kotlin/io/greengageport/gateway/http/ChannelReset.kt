package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelOutputShutdownException
import java.io.IOException
import java.nio.channels.ClosedChannelException

/** Message of the system for EPIPE; nothing else tells it from a reset. */
private const val BROKEN_PIPE = "Broken pipe"

/** Makes the next close of this channel a TCP reset, which drops the bytes not yet delivered. */
internal fun Channel.resetOnClose(log: DecisionLog) {
    if (!isOpen) return
    try {
        config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (e: ChannelException) {
        // Some systems refuse the option once the peer has closed the connection.
        log.record("connection", "reset_refused", "peer" to remoteAddress(), "error" to e)
    }
}

/**
 * Whether a write failed because the peer reset the connection before it ended its output. The
 * system reports a reset once: to this write, after which the next read sees an orderly end. It
 * reports a broken pipe if the peer had ended its output before, so what was read is whole.
 */
internal fun isReset(writeFailure: IOException): Boolean {
    val origin = generateSequence<Throwable>(writeFailure) { it.cause }.last()
    return origin is IOException && origin !is ClosedChannelException &&
        origin !is ChannelOutputShutdownException && origin.message != BROKEN_PIPE
}
