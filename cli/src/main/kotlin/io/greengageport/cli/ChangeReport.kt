package io.greengageport.cli

import io.greengageport.entry.PublishReply
import io.greengageport.entry.PublishResult
import io.greengageport.settings.Fate
import io.greengageport.settings.Rejection

/** Prints the result of a publish and returns its exit code. */
internal fun conclude(text: String, json: Boolean): Int {
    val r = cliJson.decodeFromString<PublishReply>(text)
    if (json) printJson(r) else println(describe(r))
    return when (r.result) {
        PublishResult.ACCEPTED -> ExitCodes.OK
        PublishResult.REJECTED -> ExitCodes.REJECTED
        PublishResult.UNDECIDED -> ExitCodes.UNDECIDED
        PublishResult.NOT_APPENDED -> ExitCodes.NOT_PUBLISHED
        PublishResult.MALFORMED -> ExitCodes.BAD_FILE
    }
}

private fun describe(r: PublishReply): String = when (r.result) {
    PublishResult.ACCEPTED -> "accepted as version ${r.version}"

    PublishResult.REJECTED -> "rejected: ${r.rejection?.let(::describe)}"

    PublishResult.UNDECIDED ->
        "not decided yet: ${r.reason}; ask with 'settings fate ${r.changeId}'"

    PublishResult.NOT_APPENDED -> "nothing was published: ${r.reason}"

    PublishResult.MALFORMED -> (r.problems.map { it.toString() } + r.reason).joinToString("\n")
}

internal fun describe(f: Fate): String = when (f) {
    is Fate.Accepted -> "accepted as version ${f.version}"
    is Fate.Rejected -> "rejected: ${describe(f.reason)}"
    is Fate.Withdrawn -> "withdrawn at ${f.offset}; it never takes effect"
}

internal fun describe(r: Rejection): String = when (r) {
    is Rejection.Duplicate -> "the change was decided before, at version ${r.offset}"

    is Rejection.Withdrawn -> "the change was withdrawn at ${r.offset}"

    is Rejection.TooOld -> "the change is based on ${r.knownOffset}, before ${r.horizon}"

    is Rejection.NotGranted -> "the key of '${r.author}' may not write ${r.path}"

    is Rejection.InvalidPath -> "no settings can lie at ${r.path}"

    is Rejection.Conflict ->
        "${r.path} is at version ${r.version}, not ${r.baseVersion}" +
            (r.winner?.let { "; set by '${it.author}' with change ${it.id} at ${it.path}" } ?: "")

    is Rejection.NothingToRemove -> "nothing lies at ${r.path}"

    is Rejection.Invalid -> r.problems.joinToString("\n")
}
