package catalogue

import (
	"cmp"
	"maps"
	"slices"

	"balsamfork/internal/cookie"
)

// nextSnapshot returns the snapshot after records have changed. If only some servers
// have, it shares the rest with the previous snapshot: with thousands of servers, most
// changes are of a few.
func (m *Mirror) nextSnapshot(changed []Record, dropped bool) *Snapshot {
	if dropped {
		return m.buildSnapshot()
	}
	d := derivation{next: *m.snapshot.Load()}
	d.next.Position, d.next.Starts = m.position, m.starts
	for _, r := range changed {
		e := m.entries[r.ID]
		if r.Kind != KindServer || !d.apply(e) {
			return m.buildSnapshot()
		}
	}
	return &d.next
}

// derivation is a snapshot that is being derived from a previous one. Maps and slices are
// copied before their first change.
type derivation struct {
	next           Snapshot
	cookiesCopied  bool
	servicesCopied map[string]bool
}

// apply brings the server of an entry up to date. It returns false if the change may
// affect other servers, or their order.
func (d *derivation) apply(e *entry) bool {
	if e.server == nil {
		return true // it was never readable, and is in no snapshot
	}
	if d.next.ambiguous > 0 {
		return false
	}
	b := e.backend()
	b.Cookie = cookie.Of(b.Name)
	if limits := d.next.services[b.Service]; limits != nil {
		b.WarmupRate = limits.WarmupRate
	}
	if old := d.next.byCookie[b.Cookie]; old != nil {
		return d.replace(old, b)
	}
	return d.insert(b)
}

// replace puts a server in the place of its previous state.
func (d *derivation) replace(old, b *Backend) bool {
	if old.Name != b.Name || old.Service != b.Service || old.created != b.created {
		return false
	}
	list := d.list(b.Service)
	at := slices.Index(list, old)
	if at < 0 {
		return false
	}
	list[at] = b
	d.setCookie(b)
	return true
}

// insert adds a server that was created after all others of its service.
func (d *derivation) insert(b *Backend) bool {
	list := d.next.backends[b.Service]
	if len(list) == 0 || compareCreation(list[len(list)-1], b) >= 0 {
		return false
	}
	d.next.backends[b.Service] = append(d.list(b.Service), b)
	d.setCookie(b)
	return true
}

// list returns the servers of a service, which may be changed.
func (d *derivation) list(service string) []*Backend {
	if d.servicesCopied == nil {
		d.servicesCopied = map[string]bool{}
		d.next.backends = maps.Clone(d.next.backends)
	}
	if !d.servicesCopied[service] {
		d.servicesCopied[service] = true
		d.next.backends[service] = slices.Clone(d.next.backends[service])
	}
	return d.next.backends[service]
}

func (d *derivation) setCookie(b *Backend) {
	if !d.cookiesCopied {
		d.cookiesCopied = true
		d.next.byCookie = maps.Clone(d.next.byCookie)
	}
	d.next.byCookie[b.Cookie] = b
}

// compareCreation orders servers by their creation.
func compareCreation(a, b *Backend) int {
	return cmp.Or(a.created.Compare(b.created), cmp.Compare(a.Name, b.Name))
}
