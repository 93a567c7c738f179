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
	// requestTime is how long a backend server works on a request.
	requestTime = 20 * time.Millisecond
	// requestTimeout is the time that a caller gives a request.
	requestTimeout = 4 * time.Second
	// onceShare is the share of order requests that must not run twice.
	onceShare = 0.7
)

// buyers send requests at a steady rate, each through a random live instance.
type buyers struct {
	services []ServicePlan
	pause    time.Duration
	ledger   *ledger
	picker   *fabric.Picker
	fabric   *fabric.Fabric
	random   *rand.Rand
	sender   func([]netip.AddrPort) Sender

	stop    context.CancelFunc
	loop    sync.WaitGroup
	calls   sync.WaitGroup
	senders map[netip.AddrPort]Sender
}

func newBuyers(w *world, perSecond int) *buyers {
	return &buyers{
		services: w.deployment.Services,
		pause:    time.Second / time.Duration(perSecond),
		ledger:   w.ledger,
		picker:   w.fabric.Picker(requestStream),
		fabric:   w.fabric,
		random:   rand.New(rand.NewPCG(w.options.Seed, requestStream)),
		sender:   w.platform.Sender,
		senders:  make(map[netip.AddrPort]Sender),
	}
}

// warmUp returns once each service has answered a request: instances that have
// all just started grant nothing until what they may have granted before is over.
func (b *buyers) warmUp(ctx context.Context) error {
	for _, service := range b.services {
		for n := 0; ; n++ {
			via, _ := b.picker.Pick()
			r := Request{Service: service.Name, ID: fmt.Sprintf("first-%d", n), Repeatable: true}
			if outcome, _ := b.through(via.Requests).Send(ctx, r); outcome == Answered {
				break
			}
			if ctx.Err() != nil {
				return Error.New("service %s answers no request", service.Name)
			}
		}
	}
	return nil
}

func (b *buyers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.loop.Go(func() { b.run(ctx) })
}

// close lets the requests under way end, and returns when they have.
func (b *buyers) close() {
	b.stop()
	b.loop.Wait()
	b.calls.Wait()
	for _, s := range b.senders {
		_ = s.Close()
	}
}

func (b *buyers) run(ctx context.Context) {
	ticker := time.NewTicker(b.pause)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.send(n)
		}
	}
}

func (b *buyers) send(n int) {
	service := b.services[b.random.IntN(len(b.services))]
	once := service.Orders && b.random.Float64() < onceShare
	r := Request{Service: service.Name, ID: fmt.Sprintf("%s-%d", service.Name, n), Repeatable: !once}
	via, ok := b.picker.Pick()
	if !ok {
		return
	}
	sender := b.through(via.Requests)
	b.ledger.open(r, time.Now())
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		outcome, answer := sender.Send(ctx, r)
		b.ledger.close(r.ID, outcome, answer, time.Now())
	})
}

// through returns the sender that begins with the given instance and goes on
// with the others that live now.
func (b *buyers) through(first netip.AddrPort) Sender {
	if s := b.senders[first]; s != nil {
		return s
	}
	addresses := []netip.AddrPort{first}
	for _, i := range b.fabric.Live() {
		if i.Requests != first {
			addresses = append(addresses, i.Requests)
		}
	}
	s := b.sender(addresses)
	b.senders[first] = s
	return s
}
