package demo

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"balsamfork/client"
	"balsamfork/internal/config"
	"balsamfork/internal/confstore"
	"balsamfork/internal/standin/worker"
	"balsamfork/internal/store"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
)

const (
	// coldFactor is the time of a request at a cold worker over that at a warm one.
	coldFactor = 4
	// applyAttempts is the maximum number of attempts to apply a change. An attempt
	// fails if an instance settles a service at the same time, or if the store is
	// unavailable or leaves the outcome unknown.
	applyAttempts   = 10
	applyRetryDelay = 50 * time.Millisecond
	// hashKeyStream is the number of the random stream of the hash key.
	hashKeyStream = 1 << 22
	// method is the JSON-RPC method of all requests.
	method = "order"
)

// NewPlatform returns a platform that uses the public client, the configuration
// store and simulated workers, and starts instances with start.
func NewPlatform(start StartDaemon) Platform {
	return Platform{Start: start, Operator: newOperator, Worker: startWorker, Sender: newSender}
}

// operator writes configurations to the store, as the command-line tool does.
type operator struct {
	repository *confstore.Repository
	hashKey    [config.HashKeySize]byte
}

func newOperator(storeURL string, seed uint64) Operator {
	rng := rand.New(rand.NewPCG(seed, hashKeyStream))
	o := &operator{}
	for i := range o.hashKey {
		o.hashKey[i] = byte(rng.Uint32())
	}
	o.repository = confstore.New(storeclient.New(storeclient.Options{
		Service:   platform.NewStore(platform.StoreOptions{URL: storeURL}),
		FleetSize: 1,
		Random:    rng,
	}))
	return o
}

// Apply stores the document with Force set, because the demonstration takes out a data
// centre on purpose.
func (o *operator) Apply(ctx context.Context, doc config.Document) (config.Version, error) {
	change := config.Change{
		ID: "demo-" + crand.Text(), Force: true, HashKey: o.hashKey, Who: "demo", When: time.Now(),
	}
	var lastErr error
	for range applyAttempts {
		snapshot, err := o.repository.Read(ctx, confstore.Snapshot{})
		if err != nil {
			return 0, err
		}
		change.BaseVersion = snapshot.Version()
		outcome, err := o.repository.Apply(ctx, doc, change)
		if err == nil {
			return outcome.Version, nil
		}
		if !config.Conflict.Has(err) && !store.Unavailable.Has(err) && !store.OutcomeUnknown.Has(err) {
			return 0, err
		}
		lastErr = err
		time.Sleep(applyRetryDelay)
	}
	return 0, lastErr
}

func startWorker(o WorkerOptions) (Worker, error) {
	w, err := worker.Start(worker.Options{
		Name: o.Name, Slots: o.Slots, Time: o.Time, ColdFactor: coldFactor, Delay: o.ReplyDelay,
		Began:    func(params json.RawMessage) { o.Began(decodeString(params)) },
		Finished: func(params json.RawMessage) { o.Finished(decodeString(params)) },
	})
	if err != nil {
		return nil, err
	}
	switch {
	case o.ReplyDelay > 0:
		w.SetFault(worker.Delay)
	case o.DuplicateReply:
		w.SetFault(worker.DuplicateReply)
	}
	return w, nil
}

// decodeString returns the string in a JSON value, or an empty one if the value is
// not a string.
func decodeString(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

// sender sends requests with the public client.
type sender struct{ client *client.Client }

func newSender(addresses []netip.AddrPort) Sender {
	var addrs []string
	for _, a := range addresses {
		addrs = append(addrs, a.String())
	}
	return sender{client.New(addrs...)}
}

func (s sender) Send(ctx context.Context, r Request) (Outcome, string) {
	var v worker.Value
	err := s.client.Do(ctx, client.Request{
		Service: r.Service, Method: method, Params: r.ID, Repeatable: r.Repeatable,
	}, &v)
	switch {
	case err == nil:
		return Answered, decodeString(v.Params)
	case client.Refused.Has(err):
		return Refused, err.Error()
	default:
		return Unknown, err.Error()
	}
}

func (s sender) Close() error { return s.client.Close() }
