package io.greengageport.common

/** Whether a request was executed by a backend server, as far as is known. */
public enum class Execution(public val wireName: String) {
    /** The request did not run and will not be run. */
    NOT_RUN("not_run"),

    /** The request ran. */
    RAN("ran"),

    /** The request may have run. */
    UNKNOWN("unknown")
}
