package requestpath

import (
	"context"

	"go.uber.org/fx"
)

// Module provides the Path. It needs Options, a peer.Caller, a peer.Registry, a
// *slog.Logger and a tally.Scope; the Path starts, drains and closes with the
// application.
var Module = fx.Module("requestpath", fx.Provide(New), fx.Invoke(hook))

func hook(l fx.Lifecycle, p *Path) {
	l.Append(fx.Hook{
		OnStart: func(context.Context) error { return p.Start() },
		OnStop: func(ctx context.Context) error {
			err := p.Drain(ctx)
			if closed := p.Close(); err == nil {
				err = closed
			}
			return err
		},
	})
}
