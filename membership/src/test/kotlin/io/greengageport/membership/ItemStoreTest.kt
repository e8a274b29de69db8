package io.greengageport.membership

import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class ItemStoreTest {
    private fun createItem(key: String, version: Long, payload: Int, lifetime: Long = 1_000) =
        GossipItem("t", key, version, lifetime, byteArrayOf(payload.toByte()))

    private fun ItemStore.contents() =
        all(now = 0).associate { it.key to (it.version to it.payload.toList()) }

    /** Instances that receive the same items in different orders must converge to equal digests. */
    @Property(tries = 100, seed = "4")
    fun `stores converge whatever the order in which items arrive`(@ForAll seed: Long) {
        val random = Random(seed)
        val reference = FullStateExchange()
        val items = List(200) {
            createItem("k${random.nextInt(20)}", random.nextLong(1, 6), random.nextInt(1, 100))
        }
        items.forEach { reference.publish(it.key, it.version, it.payload) }
        val stores = List(2) { ItemStore(1_000, 1_000_000) }
        stores[0].let { store -> items.forEach { store.merge(it, 0) } }
        stores[1].let { store -> items.shuffled(random).forEach { store.merge(it, 0) } }
        expectThat(stores.map { it.digest() }.distinct().size).isEqualTo(1)
        expectThat(stores.map { it.contents() }).isEqualTo(List(2) { reference.items })
    }

    /** Guards against unbounded memory, and an expiring item that evicts one with more lifetime. */
    @Test
    fun `a full store evicts the item that expires first and stays within its bounds`() {
        val store = ItemStore(maxItems = 64, maxBytes = 1_000_000)
        repeat(1_000) { store.merge(createItem("k$it", 1, 1, lifetime = 1_000L + it), 0) }
        expectThat(store.all(0).size).isLessThanOrEqualTo(64)
        expectThat(store.merge(createItem("k0", 1, 1, lifetime = 10), 0)).isEqualTo(false)
        expectThat(store.all(0).any { it.key == "k999" }).isEqualTo(true)
    }
}
