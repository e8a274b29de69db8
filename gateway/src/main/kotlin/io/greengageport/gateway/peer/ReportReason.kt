package io.greengageport.gateway.peer

/**
 * Why an instance sends a report to its peers.
 *
 * [toLocalPeers] is what the peers that get this instance's own report are sent, and [toRelays]
 * what a relay sends to the relays of other data centres; null if they need no report.
 */
internal enum class ReportReason(val toLocalPeers: ReportContent?, val toRelays: ReportContent?) {
    /** The interval between reports has passed. */
    INTERVAL(ReportContent.BRIEF, null),

    /** The interval between summaries of data centres has passed. */
    SUMMARY_INTERVAL(ReportContent.WITH_SUMMARIES, ReportContent.WITH_SUMMARIES),

    /** A configuration took effect. */
    CONFIGURATION(ReportContent.BRIEF, ReportContent.BRIEF),

    /** The list of servers was read, or a relay received a newer read of it. */
    SERVER_LIST(ReportContent.BRIEF, ReportContent.BRIEF),

    /** This instance found a server unreachable. */
    UNREACHABLE(ReportContent.BRIEF, ReportContent.WITH_SUMMARIES),

    /** A peer of this data centre found a server unreachable; it tells its other peers itself. */
    UNREACHABLE_FOR_PEER(null, ReportContent.WITH_SUMMARIES),

    /** A server was found unreachable in another data centre, whose relays tell all others. */
    UNREACHABLE_ELSEWHERE(ReportContent.WITH_SUMMARIES, null),

    /** A server crashed and requests or prompt parts are suspected, or a relay heard of that. */
    CRASH_SUSPECTS(ReportContent.BRIEF, ReportContent.BRIEF),

    /** A server stated through a tunnel that it is leaving or wants a pause. */
    SERVER_NOTICE(ReportContent.BRIEF, ReportContent.BRIEF),

    /** This instance begins to stop and accepts no tunnels any more. */
    STOPPING(ReportContent.BRIEF, ReportContent.WITH_SUMMARIES),

    /** The store answers again after an outage. */
    STORE_RECOVERED(ReportContent.WITH_SUMMARIES, ReportContent.WITH_SUMMARIES)
}

/** How much of what an instance knows a report contains. */
internal enum class ReportContent {
    /** Everything but summaries of data centres. */
    BRIEF,

    /**
     * Also summaries: those of the other data centres for local peers, that of the own data centre
     * for relays. With some hundred servers a summary takes several KB.
     */
    WITH_SUMMARIES
}
