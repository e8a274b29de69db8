package io.greengageport.membership

import org.tinylog.kotlin.Logger

/** Logs changes of the member view. */
internal object MemberLog {
    fun log(change: MemberChange) {
        when (change) {
            is MemberChange.Suspected, is MemberChange.Failed, is MemberChange.Refuted ->
                Logger.warn { describe(change) }

            else -> Logger.info { describe(change) }
        }
    }

    private fun describe(change: MemberChange): String = when (change) {
        is MemberChange.Joined -> "membership: ${change.id} joined at ${change.address}"

        is MemberChange.Restarted -> "membership: ${change.id} restarted at ${change.address}"

        is MemberChange.Suspected -> "membership: ${change.id} is suspected"

        is MemberChange.Recovered -> "membership: ${change.id} is alive again"

        is MemberChange.Leaving -> "membership: ${change.id} is leaving"

        is MemberChange.Left -> "membership: ${change.id} left"

        is MemberChange.Failed -> "membership: ${change.id} failed"

        is MemberChange.Refuted ->
            "membership: refuted a report that this instance, ${change.id}, is " +
                "${change.claimed.name.lowercase()}"
    }
}
