package member_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/member"
)

func drawAddr(t *rapid.T) netip.AddrPort {
	if rapid.Bool().Draw(t, "unset") {
		return netip.AddrPort{}
	}
	b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address")
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)), rapid.Uint16().Draw(t, "port"))
}

func drawUpdate(t *rapid.T) member.Update {
	id := rapid.Map(rapid.StringN(0, 20, 60), func(s string) fleet.ID { return fleet.ID(s) })
	u := member.Update{Kind: rapid.SampledFrom([]member.UpdateKind{member.FullUpdate, member.StatusUpdate, member.SuspicionUpdate}).Draw(t, "kind")}
	u.Final = rapid.Bool().Draw(t, "final")
	u.Instance.ID = id.Draw(t, "id")
	u.Instance.Incarnation = rapid.Uint64().Draw(t, "incarnation")
	if u.Kind == member.SuspicionUpdate {
		u.By = id.Draw(t, "by")
		return u
	}
	u.Instance.State = fleet.State(rapid.IntRange(1, 5).Draw(t, "state"))
	if u.Instance.State >= fleet.Leaving {
		u.Instance.LeavesAt = rapid.Uint64Range(0, math.MaxInt64/1_000_000).Draw(t, "leaves at")
	}
	u.Instance.Applied = config.Version(rapid.Uint64().Draw(t, "applied"))
	if u.Kind == member.FullUpdate {
		u.Instance.DataCentre = rapid.StringN(0, 9, 30).Draw(t, "data centre")
		u.Instance.Region = rapid.StringN(0, 9, 30).Draw(t, "region")
		u.Instance.Packets, u.Instance.Control, u.Instance.Requests = drawAddr(t), drawAddr(t), drawAddr(t)
	}
	return u
}

func drawMessage(t *rapid.T) member.Message {
	m := member.Message{
		Kind:        member.Kind(rapid.IntRange(1, 8).Draw(t, "message kind")),
		Incarnation: rapid.Uint64().Draw(t, "sender's incarnation"),
		Applied:     config.Version(rapid.Uint64().Draw(t, "sender's version")),
	}
	switch m.Kind {
	case member.Heartbeat:
		m.Digest = rapid.Uint64().Draw(t, "digest")
	case member.Ping, member.Ack, member.PingRequest, member.IndirectAck:
		m.Subject = "subject"
	}
	for range rapid.IntRange(0, 5).Draw(t, "updates") {
		m.Updates = append(m.Updates, drawUpdate(t))
	}
	for range rapid.IntRange(0, 3).Draw(t, "announcements") {
		m.Announcements = append(m.Announcements, flow.Announcement{
			Server:    config.Number(rapid.Uint32Range(0, uint32(config.MaxNumber)).Draw(t, "server")),
			Condition: flow.Condition(rapid.IntRange(0, 3).Draw(t, "condition")),
			Sequence:  rapid.Uint64().Draw(t, "sequence"),
			Since:     rapid.Int64().Draw(t, "since"),
		})
	}
	return m
}

func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		data := member.Encode(m)
		got, err := member.Decode(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v became %+v, %v", m, got, err)
		}
		for cut := range len(data) {
			if _, err := member.Decode(data[:cut]); !member.Malformed.Has(err) {
				t.Fatalf("%d bytes of %d gave %v", cut, len(data), err)
			}
		}
	})
}

// A long message is compressed, and a decompression bomb is rejected.
func TestLongMessagesAreCompressed(t *testing.T) {
	is := is.New(t)
	m := member.Message{Kind: member.Gossip}
	plain := 0
	for n := range 410 {
		i := fleet.Instance{ID: fleet.ID(fmt.Sprintf("ost-plain-a-%03d", n)), Incarnation: 1_773_316_800_000, State: fleet.Alive, Applied: 9}
		m.Updates = append(m.Updates, member.Update{Kind: member.StatusUpdate, Instance: i})
		plain += len(i.ID) + 10
	}
	data := member.Encode(m)
	is.True(len(data)*3 <= plain)
	got, err := member.Decode(data)
	is.NoErr(err)
	is.Equal(got, m)

	_, err = member.Decode(append(data, 0))
	is.True(member.Malformed.Has(err))
	var bomb bytes.Buffer
	bomb.WriteByte(data[0])
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	is.NoErr(err)
	_, err = w.Write(make([]byte, 64<<20))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = member.Decode(bomb.Bytes())
	is.True(member.Malformed.Has(err))
}

func FuzzDecode(f *testing.F) {
	f.Add(member.Encode(member.Message{Kind: member.Heartbeat, Incarnation: 1, Applied: 2, Digest: 3}))
	f.Add(member.Encode(member.Message{Kind: member.Gossip, Updates: []member.Update{
		{Kind: member.FullUpdate, Instance: fleet.Instance{ID: "a", State: fleet.Alive}},
		{Kind: member.SuspicionUpdate, Instance: fleet.Instance{ID: "b"}, By: "c"},
	}, Announcements: []flow.Announcement{{Server: 1, Condition: flow.Down}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := member.Decode(data)
		if err != nil {
			return
		}
		again, err := member.Decode(member.Encode(m))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(again, m)
	})
}
