package io.greengageport.limits

/**
 * A sorted set of queue entries by deadline that also sums the work before a deadline.
 *
 * It is a treap, so every operation takes O(log n) expected time. Node priorities are a hash of the
 * sequence number, which keeps the structure deterministic.
 */
internal class DeadlineTree {
    private var root: Node? = null

    var size: Int = 0
        private set

    val tokens: Long get() = root.sum()

    fun isEmpty(): Boolean = root == null

    fun first(): Entry? = root?.leftmost()?.entry

    fun last(): Entry? = root?.rightmost()?.entry

    fun add(entry: Entry) {
        val (before, after) = split(root, entry)
        root = merge(merge(before, Node(entry)), after)
        size++
    }

    fun remove(entry: Entry) {
        root = removeFrom(root, entry)
        size--
    }

    /** Work of the entries whose deadline is at most [deadlineMillis], in tokens. */
    fun tokensUntil(deadlineMillis: Long): Long {
        var node = root
        var total = 0L
        while (node != null) {
            if (node.entry.deadline <= deadlineMillis) {
                total += node.left.sum() + node.entry.tokens
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
        val order = entry.compareTo(node.entry)
        when {
            order == 0 -> return merge(node.left, node.right)
            order < 0 -> node.left = removeFrom(node.left, entry)
            else -> node.right = removeFrom(node.right, entry)
        }
        node.updateSum()
        return node
    }

    /** Splits into the entries before and after [at]. */
    private fun split(node: Node?, at: Entry): Pair<Node?, Node?> {
        if (node == null) return null to null
        if (node.entry < at) {
            val (before, after) = split(node.right, at)
            node.right = before
            node.updateSum()
            return node to after
        }
        val (before, after) = split(node.left, at)
        node.left = after
        node.updateSum()
        return before to node
    }

    private fun merge(a: Node?, b: Node?): Node? {
        if (a == null) return b
        if (b == null) return a
        if (a.priority > b.priority) {
            a.right = merge(a.right, b)
            a.updateSum()
            return a
        }
        b.left = merge(a, b.left)
        b.updateSum()
        return b
    }

    private class Node(val entry: Entry) {
        val priority: Long = mix64(entry.sequence)
        var left: Node? = null
        var right: Node? = null
        var sum: Long = entry.tokens

        fun updateSum() {
            sum = left.sum() + entry.tokens + right.sum()
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
        fun Node?.sum(): Long = this?.sum ?: 0L
    }
}

/** A queued request with the number of its arrival, which breaks ties of deadlines. */
internal class Entry(val request: QueuedRequest, val sequence: Long) : Comparable<Entry> {
    /** The rank that holds the entry; differs from the request's if that rank was removed. */
    lateinit var rank: RankQueue

    val tokens: Long get() = request.estimatedTokens
    val deadline: Long get() = request.deadlineMillis

    override fun compareTo(other: Entry): Int {
        val byDeadline = deadline.compareTo(other.deadline)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}

/** The finalizer of SplitMix64: a bijection that spreads all input bits. */
internal fun mix64(value: Long): Long {
    var z = value - 0x61c8864680b583ebL
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}
