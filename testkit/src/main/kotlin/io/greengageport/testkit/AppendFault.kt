package io.greengageport.testkit

/** A fault to inject into an append to an [InMemoryLog]. */
public enum class AppendFault {
    NONE,

    /** The record is stored, but the append returns `LogError.Uncertain`. */
    LOSE_ACKNOWLEDGEMENT,

    /** The record is not stored, and the append returns `LogError.Uncertain`. */
    DROP
}
