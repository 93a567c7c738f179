package requestpath

import (
	"context"
	"errors"
	"syscall"
	"time"

	"balsamfork/internal/fleet"
)

// proveEvery is how often the end of an instance that is not heard of is looked
// for, proveFor how long one look may take.
const (
	proveEvery = 250 * time.Millisecond
	proveFor   = 200 * time.Millisecond
)

// watchSilent looks whether instances of the data centre that are not heard of have
// ended. It can be told from a partition when their host answers that nothing
// listens at their address.
func (p *Path) watchSilent() {
	t := time.NewTicker(proveEvery)
	defer t.Stop()
	silent := 0
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		now := p.clock.now()
		doubted := p.members.Doubted(p.opts.DataCentre, now)
		if n := len(p.members.Silent(p.opts.DataCentre, now)); n != silent {
			silent = n
			p.rebuild()
		}
		p.mu.Unlock()
		for _, in := range doubted {
			p.work.Go(func() { p.prove(in) })
		}
	}
}

// prove takes in the end of an instance if its host refuses to connect.
func (p *Path) prove(in fleet.Instance) {
	ctx, cancel := context.WithTimeout(p.ctx, proveFor)
	defer cancel()
	conn, err := p.opts.DialInstance(ctx, in.Control.String())
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Gone(p.clock.now(), in.ID, in.Incarnation)
	for _, c := range p.calls {
		if c.to == in.ID {
			c.cancel()
		}
	}
	p.rebuild()
	p.log.Info("An instance has ended", "instance", string(in.ID))
}
