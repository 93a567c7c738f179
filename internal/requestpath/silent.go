package requestpath

import (
	"context"
	"errors"
	"syscall"
	"time"

	"balsamfork/internal/fleet"
)

// silentCheckInterval is how often instances without recent messages are checked for
// termination; silentCheckTimeout bounds one check.
const (
	silentCheckInterval = 250 * time.Millisecond
	silentCheckTimeout  = 200 * time.Millisecond
)

// watchSilent checks whether instances of the data centre without recent messages
// have terminated. Termination is distinguished from a partition by the host
// refusing a connection to the instance's control address.
func (p *Path) watchSilent() {
	t := time.NewTicker(silentCheckInterval)
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
		unconfirmed := p.members.EndUnconfirmed(p.opts.DataCentre, now)
		if n := len(p.members.UnreachableCounted(p.opts.DataCentre, now)); n != silent {
			silent = n
			p.rebuildTables()
		}
		p.mu.Unlock()
		for _, in := range unconfirmed {
			p.work.Go(func() { p.checkEnded(in) })
		}
	}
}

// checkEnded marks an instance as terminated if its host refuses the connection.
func (p *Path) checkEnded(in fleet.Instance) {
	ctx, cancel := context.WithTimeout(p.ctx, silentCheckTimeout)
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
	p.members.ConfirmEnded(p.clock.now(), in.ID, in.Incarnation)
	for _, c := range p.calls {
		if c.to == in.ID {
			c.cancel()
		}
	}
	p.rebuildTables()
	p.log.Info("Instance has terminated", "instance", string(in.ID))
}
