package remote

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/depart"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/msg"
)

// DeparturesPath is the path below which a node holds the departures of targets that other nodes have
// confirmed; the name of such a node follows, and domainSuffix if the replicas of the failure domain are
// meant as well. POST adds to them, GET returns them, in CBOR.
const (
	DeparturesPath = "/fuchsiapier/departures/"
	domainSuffix   = "/domain"
)

// departuresURI returns the URI of what is held for an owner.
func departuresURI(owner string, reach depart.Reach) string {
	uri := DeparturesPath + url.PathEscape(owner)
	if reach == depart.ItsDomain {
		uri += domainSuffix
	}
	return uri
}

// parseDeparturesURI returns the owner and reach of a URI, and false if it is not one of departures.
func parseDeparturesURI(uri string) (owner string, reach depart.Reach, ok bool) {
	rest, ok := strings.CutPrefix(uri, DeparturesPath)
	if !ok {
		return "", depart.OneNode, false
	}
	escaped, domain := strings.CutSuffix(rest, domainSuffix)
	if domain {
		reach = depart.ItsDomain
	}
	owner, err := url.PathUnescape(escaped)
	return owner, reach, err == nil && owner != ""
}

var errDepartures = errors.New("unexpected response of a peer about departures")

// Hold makes another node hold a record, and returns once it does. It opens a new connection, since
// open ones may be dead without a sign.
func (l *Links) Hold(ctx context.Context, at peers.Node, r depart.Record, reach depart.Reach) error {
	departures, err := cbor.Marshal(r.Departures)
	if err != nil {
		return fmt.Errorf("encode departures: %w", err)
	}
	answer, err := l.client(&at).DoOnNewConn(ctx, &msg.Request{
		Method: fasthttp.MethodPost,
		URI:    departuresURI(r.Owner, reach),
		Body:   body.Of(departures),
	}, nil)
	if err != nil {
		return err
	}
	if answer.Status != fasthttp.StatusOK {
		return fmt.Errorf("%w: status %d", errDepartures, answer.Status)
	}
	return nil
}

// Recall returns the departures that another node holds for an owner, over a new connection. A node
// that knows nothing of departures holds none.
func (l *Links) Recall(ctx context.Context, from peers.Node, owner string, reach depart.Reach) ([]starts.Departure, error) {
	answer, err := l.client(&from).DoOnNewConn(ctx, &msg.Request{
		Method: fasthttp.MethodGet,
		URI:    departuresURI(owner, reach),
	}, nil)
	if err != nil {
		return nil, err
	}
	if answer.Status == fasthttp.StatusNotFound {
		return nil, nil
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errDepartures, answer.Status)
	}
	var departures []starts.Departure
	if err := cbor.Unmarshal(answer.Body.Bytes(), &departures); err != nil {
		return nil, fmt.Errorf("%w: %w", errDepartures, err)
	}
	return departures, nil
}

// Departures holds the departures that other nodes have confirmed.
type Departures interface {
	// Hold adds a record to what is held for its owner, and returns once that is done.
	Hold(ctx context.Context, r depart.Record, reach depart.Reach) error
	// Recall returns what is held for an owner.
	Recall(ctx context.Context, owner string, reach depart.Reach) []starts.Departure
}

// noDepartures is the Departures of a receiver that holds none.
type noDepartures struct{}

func (noDepartures) Hold(context.Context, depart.Record, depart.Reach) error {
	return depart.ErrNotHeld
}

func (noDepartures) Recall(context.Context, string, depart.Reach) (d []starts.Departure) { return d }

// serveDepartures handles a request of another node about the departures of its targets, and returns
// nil if the request is about something else.
func (r *Receiver) serveDepartures(ctx context.Context, in *frame.Request) *msg.Response {
	owner, reach, ok := parseDeparturesURI(in.URI)
	switch {
	case !ok:
		return nil
	case in.Method == fasthttp.MethodPost:
		return r.holdDepartures(ctx, in.Body.Bytes(), owner, reach)
	}
	departures, err := cbor.Marshal(r.departures.Recall(ctx, owner, reach))
	if err != nil {
		return msg.Plain(fasthttp.StatusInternalServerError, err.Error())
	}
	return &msg.Response{
		Status: fasthttp.StatusOK,
		Body:   body.Of(departures),
	}
}

// holdDepartures adds to the departures that are held for an owner.
func (r *Receiver) holdDepartures(ctx context.Context, departures []byte, owner string, reach depart.Reach) *msg.Response {
	record := depart.Record{
		Owner: owner,
	}
	if err := cbor.Unmarshal(departures, &record.Departures); err != nil {
		return msg.Plain(fasthttp.StatusBadRequest, err.Error())
	}
	if err := r.departures.Hold(ctx, record, reach); err != nil {
		return msg.Plain(fasthttp.StatusServiceUnavailable, err.Error())
	}
	return &msg.Response{
		Status: fasthttp.StatusOK,
	}
}
