package io.greengageport.settings

import kotlinx.coroutines.flow.MutableStateFlow

/** Holds the newest known state, and never replaces it with an older one. */
internal class StateHolder {
    val view = MutableStateFlow(SettingsView(SettingsState.EMPTY))
    val isReady = MutableStateFlow(false)

    @Volatile
    var state: SettingsState = SettingsState.EMPTY
        private set

    /** Sets the state to [candidate] if it is newer; returns whether it was. */
    @Synchronized
    fun offer(candidate: SettingsState): Boolean {
        val isNewer = candidate.lastOffset > state.lastOffset && candidate.version >= state.version
        if (!isNewer) return false
        val isVersionNew = candidate.version != state.version
        state = candidate
        if (isVersionNew) view.value = SettingsView(candidate)
        return true
    }
}
