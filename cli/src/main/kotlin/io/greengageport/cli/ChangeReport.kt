package io.greengageport.cli

import io.greengageport.entry.PublishReply
import io.greengageport.entry.PublishResult
import io.greengageport.settings.Fate
import io.greengageport.settings.Rejection

/** Prints the result of a publish, given as the JSON [text], and returns the exit code. */
internal fun printPublishResult(text: String, isJson: Boolean): Int {
    val r = cliJson.decodeFromString<PublishReply>(text)
    if (isJson) printJson(r) else println(describe(r))
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
        "undecided: ${r.reason}; query it with 'settings fate ${r.changeId}'"

    PublishResult.NOT_APPENDED -> "not published: ${r.reason}"

    PublishResult.MALFORMED -> (r.problems.map { it.toString() } + r.reason).joinToString("\n")
}

internal fun describe(f: Fate): String = when (f) {
    is Fate.Accepted -> "accepted as version ${f.version}"
    is Fate.Rejected -> "rejected: ${describe(f.reason)}"
    is Fate.Withdrawn -> "withdrawn at offset ${f.offset}; it cannot take effect"
}

internal fun describe(r: Rejection): String = when (r) {
    is Rejection.Duplicate -> "the change was already decided at offset ${r.offset}"

    is Rejection.Withdrawn -> "the change was withdrawn at offset ${r.offset}"

    is Rejection.TooOld -> "the change is based on ${r.knownOffset}, which is before ${r.horizon}"

    is Rejection.NotGranted -> "the key of '${r.author}' has no write access to ${r.path}"

    is Rejection.InvalidPath -> "invalid path: ${r.path}"

    is Rejection.Conflict ->
        "${r.path} is at version ${r.version}, not ${r.baseVersion}" +
            (r.winner?.let { "; set by '${it.author}' with change ${it.id} at ${it.path}" } ?: "")

    is Rejection.NothingToRemove -> "there are no settings at ${r.path}"

    is Rejection.Invalid -> r.problems.joinToString("\n")
}
