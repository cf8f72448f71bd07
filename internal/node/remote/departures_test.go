package remote

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/depart"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/pipe/httpc"
)

// heldRecord holds the last record of the last owner.
type heldRecord struct {
	record depart.Record
	reach  depart.Reach
}

func (h *heldRecord) Hold(_ context.Context, r depart.Record, reach depart.Reach) error {
	h.record, h.reach = r, reach
	return nil
}

func (h *heldRecord) Recall(_ context.Context, owner string, reach depart.Reach) []starts.Departure {
	h.reach = reach
	if owner != h.record.Owner {
		return nil
	}
	return h.record.Departures
}

// TestDeparturesOfPeers guards against departures that are changed or lost between two nodes, and a
// node of an earlier version that counts as one that holds them.
func TestDeparturesOfPeers(t *testing.T) {
	record := depart.Record{
		Owner: "vm/1 x",
		Departures: []starts.Departure{
			{
				ID:        "a",
				StartedAt: 1,
				At:        2,
				LastSeq:   starts.ForGood,
			},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Convey("What a node holds comes back unchanged, for its owner alone", t, func() {
		holder := &heldRecord{}
		links, to := serve(t, NewReceiver(&slowGate{}, names, func() []byte { return nil }, WithDepartures(holder)), httpc.NewBodies(1<<20, 1<<20))
		So(links.Hold(ctx, to, record, depart.ItsDomain), ShouldBeNil)
		So(holder.record, ShouldResemble, record)
		So(holder.reach, ShouldEqual, depart.ItsDomain)
		held, err := links.Recall(ctx, to, record.Owner, depart.OneNode)
		So(err, ShouldBeNil)
		So(held, ShouldResemble, record.Departures)
		So(holder.reach, ShouldEqual, depart.OneNode)
		held, err = links.Recall(ctx, to, "vm", depart.ItsDomain)
		So(err, ShouldBeNil)
		So(held, ShouldBeEmpty)
	})
	Convey("A node that holds nothing does not confirm that it does", t, func() {
		links, to := serve(t, NewReceiver(&slowGate{}, names, func() []byte { return nil }), httpc.NewBodies(1<<20, 1<<20))
		So(links.Hold(ctx, to, record, depart.OneNode), ShouldNotBeNil)
		held, err := links.Recall(ctx, to, record.Owner, depart.OneNode)
		So(err, ShouldBeNil)
		So(held, ShouldBeEmpty)
	})
}
