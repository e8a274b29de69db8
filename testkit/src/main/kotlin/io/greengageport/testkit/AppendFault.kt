package io.greengageport.testkit

/** What goes wrong with an append to an [InMemoryLog]. */
public enum class AppendFault {
    NONE,

    /** The record is stored, but the caller sees an uncertain failure. */
    LOSE_ACKNOWLEDGEMENT,

    /** The record is not stored, and the caller sees an uncertain failure. */
    DROP
}
