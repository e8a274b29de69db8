package io.greengageport.membership

import org.tinylog.kotlin.Logger

/** Writes the log lines of membership changes. */
internal object MemberLog {
    fun write(notice: MemberNotice) {
        when (notice) {
            is MemberNotice.Suspected, is MemberNotice.Failed, is MemberNotice.Refuted ->
                Logger.warn { line(notice) }

            else -> Logger.info { line(notice) }
        }
    }

    private fun line(notice: MemberNotice): String = when (notice) {
        is MemberNotice.Joined -> "membership: ${notice.id} joined at ${notice.address}"

        is MemberNotice.Restarted -> "membership: ${notice.id} restarted at ${notice.address}"

        is MemberNotice.Suspected -> "membership: ${notice.id} is suspected"

        is MemberNotice.Recovered -> "membership: ${notice.id} is alive again"

        is MemberNotice.Leaving -> "membership: ${notice.id} is leaving"

        is MemberNotice.Left -> "membership: ${notice.id} left"

        is MemberNotice.Failed -> "membership: ${notice.id} failed"

        is MemberNotice.Refuted ->
            "membership: a report that ${notice.id}, this instance, is " +
                "${notice.claimed.name.lowercase()} was refuted"
    }
}
