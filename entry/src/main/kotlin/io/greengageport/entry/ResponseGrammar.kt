package io.greengageport.entry

import io.ktor.client.plugins.api.Send
import io.ktor.client.plugins.api.createClientPlugin
import io.ktor.client.statement.HttpResponse
import io.ktor.http.cio.ParserException
import java.io.IOException
import kotlinx.coroutines.cancel

/** The head of a response does not follow the grammar of HTTP/1.1. */
internal class MalformedHeadException(message: String, cause: Throwable? = null) :
    IOException(message, cause)

/**
 * Makes calls whose response has a malformed head fail with a [MalformedHeadException], like calls
 * whose connection breaks, and closes the connection.
 *
 * The library rejects some of these heads with exceptions that do not derive from [IOException]. It
 * accepts any number as the status if no reason phrase follows, numbers from 1 to 99 and some names
 * of fields that are no tokens. It drops zeros at the start of a status, which this cannot detect.
 */
internal val ResponseGrammar = createClientPlugin("ResponseGrammar") {
    on(Send) { request ->
        val call = try {
            proceed(request)
        } catch (e: ParserException) {
            throw MalformedHeadException("invalid response head", e)
        } catch (e: NumberFormatException) {
            throw MalformedHeadException("invalid status", e)
        }
        val fault = findFault(call.response)
        if (fault != null) {
            call.cancel()
            throw MalformedHeadException(fault)
        }
        call
    }
}

private fun findFault(response: HttpResponse): String? = when {
    response.status.value !in MIN_STATUS..MAX_STATUS -> "status code is not three digits from 100"
    !response.headers.names().all(::isToken) -> "field name is not a token"
    else -> null
}

/** Whether [name] is a token (RFC 9110, section 5.6.2). */
private fun isToken(name: String) = name.isNotEmpty() &&
    name.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in TOKEN_PUNCTUATION }

private const val MIN_STATUS = 100
private const val MAX_STATUS = 999
private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"
