package io.greengageport.common

import kotlin.random.Random
import kotlinx.serialization.Serializable

/** Name of an entry instance, unique in the fleet; set in its settings file. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a backend server process: a model engine or a plain service. */
@Serializable
@JvmInline
public value class RunnerId(public val value: String) : Comparable<RunnerId> {
    override fun compareTo(other: RunnerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a service, unique across teams. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of an organisation, unique across teams. */
@Serializable
@JvmInline
public value class OrganisationName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a request rank. */
@Serializable
@JvmInline
public value class RankName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a data centre. */
@Serializable
@JvmInline
public value class DataCentre(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies a request from arrival to completion, across all attempts.
 *
 * ```
 * val id = RequestId.random(Random.Default)
 * ```
 */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        private const val BYTES = 16

        /** Generates an identifier of 128 random bits in hexadecimal. */
        public fun random(random: Random): RequestId =
            RequestId(random.nextBytes(BYTES).joinToString("") { "%02x".format(it) })
    }
}
