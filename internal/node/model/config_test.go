package model

import "testing"

// Guards against a confirmed change that is in force too late since a lost call of the store
// shows only when it times out, while all readers wait for one.
func TestChangeAfterSilentStore(t *testing.T) {
	run(t, []scenario{silentStore}, 1, 20)
}

// Guards against a change that is in force too late since all open connections have gone silent.
func TestChangeAfterSilentConnections(t *testing.T) {
	run(t, []scenario{silentConns}, 1, 20)
}

// Guards against a store that is only slow and taken for silent, so that nobody reads it.
func TestChangeWhileTheStoreIsSlow(t *testing.T) {
	run(t, []scenario{slowStore}, 1, 20)
}

// Guards against a change that is in force too late since the store refuses all readers.
func TestChangeWhileReadersAreRefused(t *testing.T) {
	run(t, []scenario{readersRefused}, 1, 20)
}

// Guards against a node that knows of a newer configuration, can't get it from the nodes that have
// it, and does not turn to the store.
func TestChangeWhileNodesAreCutOneWay(t *testing.T) {
	run(t, []scenario{cutOneWay}, 1, 20)
}

// Guards against a failure domain that is late since it hears nothing of the others.
func TestChangeInDomainAlone(t *testing.T) {
	run(t, []scenario{domainAlone}, 1, 20)
}

// Guards against a failure domain that is late since its reader is slow to pass a change on.
func TestChangeWhileReadersAreSqueezed(t *testing.T) {
	run(t, []scenario{readersSqueezed}, 1, 20)
}

// Guards against nodes that are late beside others that are frozen or killed.
func TestChangeBesideFrozenAndKilledNodes(t *testing.T) {
	run(t, []scenario{frozen, readersKilled}, 2, 20)
}

// Guards against the same under several disturbances that overlap.
func TestChangeUnderSeveralDisturbances(t *testing.T) {
	run(t, scenarios, 3, 40)
}
