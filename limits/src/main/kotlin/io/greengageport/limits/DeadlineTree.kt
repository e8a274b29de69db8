package io.greengageport.limits

/**
 * A set of queue entries sorted by deadline, with the total work up to a given deadline.
 *
 * The implementation is a treap with subtree sums, so every operation takes O(log n) expected time.
 * Node priorities are hashes of the sequence numbers, which makes the structure deterministic.
 */
internal class DeadlineTree {
    private var root: Node? = null

    var size: Int = 0
        private set

    /** Estimated work of all entries, in tokens. */
    val tokens: Long get() = root.tokenSum()

    fun isEmpty(): Boolean = root == null

    /** The entry with the earliest deadline. */
    fun first(): Entry? = root?.leftmost()?.entry

    /** The entry with the latest deadline. */
    fun last(): Entry? = root?.rightmost()?.entry

    fun add(entry: Entry) {
        val (before, after) = split(root, entry)
        root = merge(merge(before, Node(entry)), after)
        size++
    }

    /** Removes [entry]; throws [IllegalStateException] if it is not in the tree. */
    fun remove(entry: Entry) {
        root = removeFrom(root, entry)
        size--
    }

    /** Estimated work of the entries with a deadline up to [deadlineMillis], in tokens. */
    fun tokensUntil(deadlineMillis: Long): Long {
        var node = root
        var total = 0L
        while (node != null) {
            if (node.entry.deadline <= deadlineMillis) {
                total += node.left.tokenSum() + node.entry.tokens
                node = node.right
            } else {
                node = node.left
            }
        }
        return total
    }

    fun toList(): List<Entry> = buildList { root?.visit(::add) }

    private fun removeFrom(node: Node?, entry: Entry): Node? {
        checkNotNull(node) { "the entry ${entry.request.id} is not in the tree" }
        val comparison = entry.compareTo(node.entry)
        when {
            comparison == 0 -> return merge(node.left, node.right)
            comparison < 0 -> node.left = removeFrom(node.left, entry)
            else -> node.right = removeFrom(node.right, entry)
        }
        node.updateTokenSum()
        return node
    }

    /** Splits the subtree of [node] into the entries before and after [pivot]. */
    private fun split(node: Node?, pivot: Entry): Pair<Node?, Node?> {
        if (node == null) return null to null
        if (node.entry < pivot) {
            val (before, after) = split(node.right, pivot)
            node.right = before
            node.updateTokenSum()
            return node to after
        }
        val (before, after) = split(node.left, pivot)
        node.left = after
        node.updateTokenSum()
        return before to node
    }

    /** Merges two subtrees; all entries of [a] are before those of [b]. */
    private fun merge(a: Node?, b: Node?): Node? {
        if (a == null) return b
        if (b == null) return a
        if (a.priority > b.priority) {
            a.right = merge(a.right, b)
            a.updateTokenSum()
            return a
        }
        b.left = merge(a, b.left)
        b.updateTokenSum()
        return b
    }

    private class Node(val entry: Entry) {
        val priority: Long = mix64(entry.sequence)
        var left: Node? = null
        var right: Node? = null
        var tokenSum: Long = entry.tokens

        fun updateTokenSum() {
            tokenSum = left.tokenSum() + entry.tokens + right.tokenSum()
        }

        fun visit(action: (Entry) -> Unit) {
            left?.visit(action)
            action(entry)
            right?.visit(action)
        }

        fun leftmost(): Node = generateSequence(this) { it.left }.last()

        fun rightmost(): Node = generateSequence(this) { it.right }.last()
    }

    private companion object {
        fun Node?.tokenSum(): Long = this?.tokenSum ?: 0L
    }
}

/** A queued request; its arrival number [sequence] breaks ties between equal deadlines. */
internal class Entry(val request: QueuedRequest, val sequence: Long) : Comparable<Entry> {
    /** The rank queue that holds the entry; not the request's own rank if that was removed. */
    lateinit var rank: RankQueue

    val tokens: Long get() = request.estimatedTokens
    val deadline: Long get() = request.deadlineMillis

    override fun compareTo(other: Entry): Int {
        val byDeadline = deadline.compareTo(other.deadline)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}

/** The SplitMix64 finalizer: a bijective hash in which each input bit affects all output bits. */
internal fun mix64(value: Long): Long {
    var z = value - 0x61c8864680b583ebL
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}
