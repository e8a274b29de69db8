package io.greengageport.settings

import kotlinx.coroutines.flow.MutableStateFlow

/** The newest state known here; never goes back to an older one. */
internal class StateHolder {
    val view = MutableStateFlow(SettingsView(SettingsState.EMPTY))
    val ready = MutableStateFlow(false)

    @Volatile
    var state: SettingsState = SettingsState.EMPTY
        private set

    /** Takes [candidate] if it covers more of the log; returns whether it did. */
    @Synchronized
    fun offer(candidate: SettingsState): Boolean {
        val isNewer = candidate.through > state.through && candidate.version >= state.version
        if (!isNewer) return false
        val changed = candidate.version != state.version
        state = candidate
        if (changed) view.value = SettingsView(candidate)
        return true
    }
}
