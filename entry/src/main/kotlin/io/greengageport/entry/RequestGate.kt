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

/** What a request says of itself in its headers. */
internal data class RequestHeaders(
    val authorization: String?,
    val rank: String?,
    val deadline: String?
)

/** Authenticates requests and finds their organisation, service, rank and deadline. */
internal class RequestGate(private val clock: Clock, private val view: () -> SettingsView) {
    /** The context of a request to [service], or why it is refused. */
    fun open(
        id: RequestId,
        service: String,
        headers: RequestHeaders
    ): Result<RequestContext, RequestError> {
        val v = view()
        val organisation = authenticate(v, headers.authorization)
            ?: return Err(RequestError.Unauthenticated())
        val s = v.service(ServiceName(service)) ?: return Err(RequestError.UnknownService(service))
        if (!organisation.settings.allows(s.name)) {
            return Err(RequestError.Forbidden("the organisation may not use '$service'"))
        }
        val rank = rank(v, organisation, headers.rank).getOrElse { return Err(it) }
        val deadline = CallerHeaders.deadline(headers.deadline).getOrElse { return Err(it) }
        val now = clock.monotonicMillis()
        return Ok(
            RequestContext(
                id = id,
                organisation = organisation,
                rank = rank,
                service = s,
                arrivedAt = now,
                deadlineAt = now + (deadline ?: rank.settings.deadlineMillis.toLong()),
                hasOwnDeadline = deadline != null
            )
        )
    }

    private fun authenticate(v: SettingsView, authorization: String?): Organisation? {
        val key = authorization?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
            ?.substring(BEARER.length)?.trim() ?: return null
        return v.organisationByKey(KeyHash.of(key))
    }

    /** The named rank; without a name, the least urgent one that the organisation may use. */
    private fun rank(v: SettingsView, o: Organisation, name: String?): Result<Rank, RequestError> {
        if (name == null) {
            return v.ranks.lastOrNull { o.settings.allows(it.name) }?.let { Ok(it) }
                ?: Err(RequestError.Forbidden("the organisation may use no rank"))
        }
        val rank = v.rank(RankName(name))
        return when {
            rank == null -> Err(
                RequestError.Invalid(
                    "no rank is named '$name'; allowed: ${v.ranks.joinToString { it.name.value }}"
                )
            )

            !o.settings.allows(rank.name) ->
                Err(RequestError.Forbidden("the organisation may not use rank '$name'"))

            else -> Ok(rank)
        }
    }

    private companion object {
        const val BEARER = "Bearer "
    }
}
