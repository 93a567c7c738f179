package confsync

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
)

// source says where a version came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// holder holds the version in force and lets it only grow.
type holder struct {
	log     *slog.Logger
	metrics metrics

	mu    sync.Mutex
	state *config.State
	conf  *config.Config
	// refused is the newest version that this release must not serve by.
	refused config.Version

	// adopting keeps the calls of the listeners in the order of the versions.
	adopting  sync.Mutex
	listeners []func(*config.Config)
}

type metrics struct {
	adopted   tally.Counter
	older     tally.Counter
	refused   tally.Counter
	pulls     tally.Counter
	failures  tally.Counter
	storeFail tally.Counter
	version   tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		adopted:   scope.Counter("config_versions_adopted"),
		older:     scope.Counter("config_older_versions_refused"),
		refused:   scope.Counter("config_versions_refused"),
		pulls:     scope.Counter("config_pulls"),
		failures:  scope.Counter("config_pull_failures"),
		storeFail: scope.Counter("config_store_read_failures"),
		version:   scope.Gauge("config_version"),
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

// wants reports whether a version would be new here.
func (h *holder) wants(v config.Version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return v > h.refused && (h.state == nil || v > h.state.Version)
}

// adopt brings a version into force if it is newer than the one that is, and
// reports whether it did. Versions that this release must not serve by are
// refused and remembered.
func (h *holder) adopt(next *config.State, from source) bool {
	h.adopting.Lock()
	defer h.adopting.Unlock()
	if next == nil || !h.wants(next.Version) {
		h.noteOlder(next, from)
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
	for _, listen := range h.listeners {
		listen(conf)
	}
	return true
}

func (h *holder) noteOlder(next *config.State, from source) {
	if next == nil {
		return
	}
	if have := h.version(); next.Version < have {
		h.metrics.older.Inc(1)
		h.log.Warn("Older configuration refused.", "version", next.Version, "have", have, "from", from)
	}
}

// refuse remembers a version that is not to be asked for again. What a peer
// garbled may still come whole from another.
func (h *holder) refuse(v config.Version, from source, err error) {
	if from == fromStore || config.Newer.Has(err) {
		h.mu.Lock()
		h.refused = max(h.refused, v)
		h.mu.Unlock()
	}
	h.metrics.refused.Inc(1)
	h.log.Error("Configuration refused.", "version", v, "from", from, "err", err)
}
