package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.common.ServiceName
import io.greengageport.settings.KeyHash
import io.greengageport.settings.Organisation
import io.greengageport.settings.Rank
import io.greengageport.settings.SettingsView

/** The request headers that affect authentication, rank and deadline. */
internal data class RequestHeaders(
    val authorization: String?,
    val rank: String?,
    val deadline: String?
)

/** Authenticates requests and determines their organisation, service, rank and deadline. */
internal class RequestAuthenticator(
    private val clock: Clock,
    private val settingsView: () -> SettingsView
) {
    /** Returns the context of a request to [service], or the error with which it is refused. */
    fun resolveContext(
        id: RequestId,
        service: String,
        headers: RequestHeaders
    ): Result<RequestContext, RequestError> {
        val view = settingsView()
        val organisation = authenticate(view, headers.authorization)
            ?: return Err(RequestError.Unauthenticated())
        val target = view.service(ServiceName(service))
            ?: return Err(RequestError.UnknownService(service))
        if (!organisation.settings.allows(target.name)) {
            return Err(RequestError.Forbidden("the organisation may not use '$service'"))
        }
        val rank = findRank(view, organisation, headers.rank).getOrElse { return Err(it) }
        val deadlineMillis = CallerHeaders.parseDeadlineMillis(headers.deadline)
            .getOrElse { return Err(it) }
        val now = clock.monotonicMillis()
        return Ok(
            RequestContext(
                id = id,
                organisation = organisation,
                rank = rank,
                service = target,
                arrivedAtMillis = now,
                deadlineAtMillis = now + (deadlineMillis ?: rank.settings.deadlineMillis.toLong()),
                hasOwnDeadline = deadlineMillis != null
            )
        )
    }

    private fun authenticate(view: SettingsView, authorization: String?): Organisation? {
        val key = authorization?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
            ?.substring(BEARER.length)?.trim() ?: return null
        return view.organisationByKey(KeyHash.of(key))
    }

    /** The rank called [name]; if null, the least urgent rank that the organisation may use. */
    private fun findRank(
        view: SettingsView,
        organisation: Organisation,
        name: String?
    ): Result<Rank, RequestError> {
        if (name == null) {
            return view.ranks.lastOrNull { organisation.settings.allows(it.name) }
                ?.let { Ok(it) }
                ?: Err(RequestError.Forbidden("the organisation may use no rank"))
        }
        val rank = view.rank(RankName(name))
        return when {
            rank == null -> Err(
                RequestError.Invalid(
                    "no rank is named '$name'; " +
                        "allowed: ${view.ranks.joinToString { it.name.value }}"
                )
            )

            !organisation.settings.allows(rank.name) ->
                Err(RequestError.Forbidden("the organisation may not use rank '$name'"))

            else -> Ok(rank)
        }
    }

    private companion object {
        const val BEARER = "Bearer "
    }
}
