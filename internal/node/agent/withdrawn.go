package agent

import (
	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/node/gate"
	"fuchsiapier/internal/node/watch"
)

// withdrawnPrefix precedes the name of a node in the key under which the store keeps the
// withdrawals of the targets on its VM.
const withdrawnPrefix = "withdrawn/"

// storeWithdrawals stores the withdrawals of targets, so that this node's next process does
// not use them either.
func (a *Agent) storeWithdrawals(withdrawals []gate.Withdrawal) {
	a.log.Info().Str("target", withdrawals[len(withdrawals)-1].ID).Int("withdrawn", len(withdrawals)).Msg("target withdrawn")
	value, err := cbor.Marshal(withdrawals)
	if err != nil {
		a.log.Error().Err(err).Msg("withdrawals not encoded")
		return
	}
	a.watcher.Store(watch.Record{
		Key:   withdrawnPrefix + a.deploy.Node,
		Value: value,
	})
}

// restoreWithdrawals records the withdrawals that an earlier process of this node has
// stored.
func (a *Agent) restoreWithdrawals(value []byte) {
	var stored []gate.Withdrawal
	if err := cbor.Unmarshal(value, &stored); err != nil {
		a.log.Warn().Err(err).Msg("stored withdrawals skipped")
		return
	}
	a.gate.RestoreWithdrawals(stored)
	a.log.Info().Int("withdrawn", len(stored)).Msg("stored withdrawals restored")
}
