package confsync

import (
	"log/slog"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
)

// source is the origin of a version.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// holder holds the version in force, which never decreases.
type holder struct {
	log     *slog.Logger
	metrics metrics

	mu    sync.Mutex
	state *config.State
	conf  *config.Config
	// refused holds the newest maxRefused versions that refuse has recorded. They
	// are not requested or adopted; an intact older version may be.
	refused []config.Version

	// adoptMu serialises adopt, so that listeners are called in the order of
	// the versions.
	adoptMu   sync.Mutex
	listeners []func(*config.Config)
}

type metrics struct {
	adopted           tally.Counter
	older             tally.Counter
	refused           tally.Counter
	pulls             tally.Counter
	pullFailures      tally.Counter
	storeReadFailures tally.Counter
	recoveryFailures  tally.Counter
	version           tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		adopted:           scope.Counter("config_versions_adopted"),
		older:             scope.Counter("config_older_versions_refused"),
		refused:           scope.Counter("config_versions_refused"),
		pulls:             scope.Counter("config_pulls"),
		pullFailures:      scope.Counter("config_pull_failures"),
		storeReadFailures: scope.Counter("config_store_read_failures"),
		recoveryFailures:  scope.Counter("config_recovery_failures"),
		version:           scope.Gauge("config_version"),
	}
}

func (h *holder) current() (*config.State, *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state, h.conf
}

// version returns the version in force, zero before the first.
func (h *holder) version() config.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil {
		return 0
	}
	return h.state.Version
}

// maxRefused bounds the refused versions that are remembered. A forgotten one is
// requested once more.
const maxRefused = 16

// wants reports whether a version is newer than the one in force and was not
// refused.
func (h *holder) wants(v config.Version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.Contains(h.refused, v) && (h.state == nil || v > h.state.Version)
}

// adopt brings a version into force if it is newer than the current one, and
// reports whether it did. It refuses a version that this release cannot or must
// not apply.
func (h *holder) adopt(next *config.State, from source) bool {
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	if next == nil || !h.wants(next.Version) {
		h.logOlder(next, from)
		return false
	}
	conf, err := next.Config()
	if err != nil {
		h.refuse(next.Version, from, err)
		return false
	}
	h.mu.Lock()
	h.state, h.conf = next, conf
	h.mu.Unlock()
	h.metrics.adopted.Inc(1)
	h.metrics.version.Update(float64(next.Version))
	h.log.Info("Configuration in force.", "version", next.Version, "change", conf.ChangeID, "from", from)
	for _, listener := range h.listeners {
		listener(conf)
	}
	return true
}

func (h *holder) logOlder(next *config.State, from source) {
	if next == nil {
		return
	}
	if have := h.version(); next.Version < have {
		h.metrics.older.Inc(1)
		h.log.Warn("Older configuration refused.", "version", next.Version, "have", have, "from", from)
	}
}

// refuse counts and logs a refused version, and records it so that it is not
// requested again. A version that a peer may have corrupted is not recorded,
// since another peer may still send it intact.
func (h *holder) refuse(v config.Version, from source, err error) {
	if from == fromStore || config.Newer.Has(err) {
		h.recordRefused(v)
	}
	h.metrics.refused.Inc(1)
	h.log.Error("Configuration refused.", "version", v, "from", from, "err", err)
}

func (h *holder) recordRefused(v config.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.refused, v) {
		return
	}
	h.refused = append(h.refused, v)
	slices.Sort(h.refused)
	h.refused = h.refused[max(0, len(h.refused)-maxRefused):]
}
