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
	// coldFactor is how much longer a cold worker takes.
	coldFactor = 4
	// applyAttempts bounds how often an operator repeats a change that lost a race
	// with an instance that settled a service, or whose outcome is not known.
	applyAttempts = 10
	applyPause    = 50 * time.Millisecond
	// keyStream numbers the random stream of the hash key.
	keyStream = 1 << 22
	// method is the method of all requests.
	method = "order"
)

// NewPlatform returns a platform of the real client and configuration store, and
// of stand-in workers, with instances that start starts.
func NewPlatform(start StartDaemon) Platform {
	return Platform{Start: start, Operator: newOperator, Worker: startWorker, Sender: newSender}
}

// operator declares configurations through the store, as the tool does.
type operator struct {
	repository *confstore.Repository
	hashKey    [config.HashKeySize]byte
}

func newOperator(storeURL string, seed uint64) Operator {
	random := rand.New(rand.NewPCG(seed, keyStream))
	o := &operator{}
	for i := range o.hashKey {
		o.hashKey[i] = byte(random.Uint32())
	}
	o.repository = confstore.New(storeclient.New(storeclient.Options{
		Service: platform.NewStore(platform.StoreOptions{URL: storeURL}),
		Fleet:   1,
		Random:  random,
	}))
	return o
}

// Apply forces the change, since the demonstration means what it takes out.
func (o *operator) Apply(ctx context.Context, doc config.Document) (config.Version, error) {
	change := config.Change{
		ID: "demo-" + crand.Text(), Force: true, HashKey: o.hashKey, Who: "demo", When: time.Now(),
	}
	var last error
	for range applyAttempts {
		seen, err := o.repository.Read(ctx, confstore.Snapshot{})
		if err != nil {
			return 0, err
		}
		change.Seen = seen.Version()
		outcome, err := o.repository.Apply(ctx, doc, change)
		if err == nil {
			return outcome.Version, nil
		}
		if !config.Conflict.Has(err) && !store.Unavailable.Has(err) && !store.Unknown.Has(err) {
			return 0, err
		}
		last = err
		time.Sleep(applyPause)
	}
	return 0, last
}

func startWorker(o WorkerOptions) (Worker, error) {
	w, err := worker.Start(worker.Options{
		Name: o.Name, Slots: o.Slots, Time: o.Time, ColdFactor: coldFactor, Delay: o.Late,
		Began:    func(params json.RawMessage) { o.Began(text(params)) },
		Finished: func(params json.RawMessage) { o.Finished(text(params)) },
	})
	if err != nil {
		return nil, err
	}
	switch {
	case o.Late > 0:
		w.SetFault(worker.Delay)
	case o.Double:
		w.SetFault(worker.Double)
	}
	return w, nil
}

// text returns the string that JSON holds, or nothing.
func text(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

// sender sends requests with the public client.
type sender struct{ client *client.Client }

func newSender(addresses []netip.AddrPort) Sender {
	var texts []string
	for _, a := range addresses {
		texts = append(texts, a.String())
	}
	return sender{client.New(texts...)}
}

func (s sender) Send(ctx context.Context, r Request) (Outcome, string) {
	var v worker.Value
	err := s.client.Do(ctx, client.Request{
		Service: r.Service, Method: method, Params: r.ID, Repeatable: r.Repeatable,
	}, &v)
	switch {
	case err == nil:
		return Answered, text(v.Params)
	case client.Refused.Has(err):
		return Refused, err.Error()
	default:
		return Unknown, err.Error()
	}
}

func (s sender) Close() error { return s.client.Close() }
