package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"balsamfork/internal/standin/fabric"
)

const (
	// requestTime is how long a backend server takes to process a request.
	requestTime = 20 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 4 * time.Second
	// nonRepeatableShare is the fraction of the requests to a service with
	// NonRepeatable set that must not run twice.
	nonRepeatableShare = 0.7
)

// loadGenerator sends requests at a constant rate, each through a random live
// instance.
type loadGenerator struct {
	services   []ServicePlan
	interval   time.Duration
	requestLog *requestLog
	picker     *fabric.Picker
	fabric     *fabric.Fabric
	rng        *rand.Rand
	newSender  func([]netip.AddrPort) Sender

	stop    context.CancelFunc
	loop    sync.WaitGroup
	calls   sync.WaitGroup
	senders map[netip.AddrPort]Sender
}

func newLoadGenerator(env *environment, perSecond int) *loadGenerator {
	return &loadGenerator{
		services:   env.deployment.Services,
		interval:   time.Second / time.Duration(perSecond),
		requestLog: env.requestLog,
		picker:     env.fabric.Picker(requestStream),
		fabric:     env.fabric,
		rng:        rand.New(rand.NewPCG(env.options.Seed, requestStream)),
		newSender:  env.platform.Sender,
		senders:    make(map[netip.AddrPort]Sender),
	}
}

// warmUp returns once each service has answered a request. Instances that have all
// just started grant no key before the claims of an earlier run have expired.
func (g *loadGenerator) warmUp(ctx context.Context) error {
	for _, service := range g.services {
		for n := 0; ; n++ {
			via, _ := g.picker.Pick()
			r := Request{Service: service.Name, ID: fmt.Sprintf("first-%d", n), Repeatable: true}
			if outcome, _ := g.senderVia(via.RequestAddr).Send(ctx, r); outcome == Answered {
				break
			}
			if ctx.Err() != nil {
				return Error.New("service %s answers no request", service.Name)
			}
		}
	}
	return nil
}

func (g *loadGenerator) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.loop.Go(func() { g.run(ctx) })
}

// close stops sending requests and waits until the pending ones have ended.
func (g *loadGenerator) close() {
	g.stop()
	g.loop.Wait()
	g.calls.Wait()
	for _, s := range g.senders {
		_ = s.Close()
	}
}

func (g *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.send(n)
		}
	}
}

func (g *loadGenerator) send(n int) {
	service := g.services[g.rng.IntN(len(g.services))]
	nonRepeatable := service.NonRepeatable && g.rng.Float64() < nonRepeatableShare
	r := Request{Service: service.Name, ID: fmt.Sprintf("%s-%d", service.Name, n), Repeatable: !nonRepeatable}
	via, ok := g.picker.Pick()
	if !ok {
		return
	}
	sender := g.senderVia(via.RequestAddr)
	g.requestLog.recordSent(r, time.Now())
	g.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		outcome, answer := sender.Send(ctx, r)
		g.requestLog.recordOutcome(r.ID, outcome, answer, time.Now())
	})
}

// senderVia returns a sender that tries the given instance first, and then the
// instances that were live when the sender was created.
func (g *loadGenerator) senderVia(first netip.AddrPort) Sender {
	if s := g.senders[first]; s != nil {
		return s
	}
	addresses := []netip.AddrPort{first}
	for _, i := range g.fabric.Live() {
		if i.RequestAddr != first {
			addresses = append(addresses, i.RequestAddr)
		}
	}
	s := g.newSender(addresses)
	g.senders[first] = s
	return s
}
