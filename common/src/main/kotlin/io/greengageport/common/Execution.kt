package io.greengageport.common

/** What is known about the execution of a request on a backend server. */
public enum class Execution(public val wireName: String) {
    /** The request did not run and will not run. */
    NOT_RUN("not_run"),

    /** The request ran. */
    RAN("ran"),

    /** The request may have run. */
    UNKNOWN("unknown")
}
