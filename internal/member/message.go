package member

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	// News carries updates only.
	News Kind = iota + 1
	// Heartbeat goes to the watchers of the sender, with a digest of its table.
	Heartbeat
	// Ping asks for an Ack; Subject is the instance on whose behalf, if any.
	Ping
	// Ack answers a Ping, with its Subject.
	Ack
	// PingRequest asks for a Ping to Subject on the sender's behalf.
	PingRequest
	// Vouch says that Subject has answered a Ping asked for.
	Vouch
	// Sync carries the whole table and asks for SyncReply, which carries what
	// differs from it.
	Sync
	SyncReply
)

// Message is what one instance sends another. Incarnation and Applied are the
// sender's own.
type Message struct {
	Kind          Kind
	Incarnation   uint64
	Applied       config.Version
	Digest        uint64
	Subject       fleet.ID
	Updates       []Update
	Announcements []flow.Announcement
}

// UpdateKind says which fields an Update has.
type UpdateKind uint8

// The kinds of updates.
const (
	// Whole carries every field of the instance.
	Whole UpdateKind = iota + 1
	// Progress carries ID, Incarnation, State and Applied.
	Progress
	// Suspicion says that By suspects the incarnation of the instance; without
	// By it repeats a claim of death.
	Suspicion
)

// Update is one piece of news about an instance.
type Update struct {
	Kind     UpdateKind
	Instance fleet.Instance
	By       fleet.ID
	// Final marks a death that the instance itself has announced.
	Final bool
}

// Outgoing is a message with its receiver.
type Outgoing struct {
	To      fleet.ID
	Message Message
}

// VersionOf says which configuration version an instance serves by.
type VersionOf struct {
	ID      fleet.ID
	Version config.Version
}

// Outcome is what the systems decided since the outcome before.
type Outcome struct {
	Send []Outgoing
	// View is nil if nothing in it has changed.
	View *fleet.View
	// Newer lists versions over the own one that others were heard to serve by.
	Newer []VersionOf
	// Announcements are those that are new here, the own ones included.
	Announcements []flow.Announcement
}
