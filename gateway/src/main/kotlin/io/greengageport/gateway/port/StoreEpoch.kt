package io.greengageport.gateway.port

/**
 * The epoch of the store's history.
 *
 * The store starts a new epoch when it is restored from an older copy. It then has lost its latest
 * records and gives out their offsets again, so offsets are comparable only within an epoch.
 */
public class StoreEpoch {
    /** The latest epoch that a response showed; 0 before the first one that states its epoch. */
    public var current: Long = 0
        private set
    private var isKnown = false

    private val listeners = ArrayList<(Long) -> Unit>()

    /** Calls [listener] with the previous epoch when a response shows a later one. */
    public fun onRestored(listener: (previous: Long) -> Unit) {
        listeners += listener
    }

    /** Records that a response states [epoch]; returns false if it is outdated. */
    public fun observe(epoch: Long): Boolean {
        val previous = current
        val wasKnown = isKnown
        isKnown = true
        if (epoch <= previous) return epoch == previous
        current = epoch
        if (wasKnown) listeners.forEach { it(previous) }
        return true
    }
}
