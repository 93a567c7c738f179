// Package wire encodes and decodes the packets of the simulated callers and
// backend servers: IPv4 with TCP or UDP, encapsulated in GRE over UDP. It supports
// only the TCP flags needed to open, use and close a connection. UDP flows carry
// the same flags in a byte before their data.
package wire

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/config"
)

// timeToLive is the IPv4 time to live of the packets, in hops.
const timeToLive = 64

// Flag is a set of TCP flags, each at its bit of the TCP header's flags byte.
type Flag uint8

// The supported flags.
const (
	FIN Flag = 1 << iota
	SYN
	RST
	_
	ACK
)

// tcpFlagsOffset is the offset of the flags in the TCP header, in bytes.
const tcpFlagsOffset = 13

// Segment is one packet of a flow.
type Segment struct {
	From     netip.AddrPort
	To       netip.AddrPort
	Protocol config.Protocol
	Flags    Flag
	// Data is the payload. After Decode it aliases the bytes that were decoded.
	Data []byte
}

// Has reports whether all the given flags are set.
func (s Segment) Has(flags Flag) bool { return s.Flags&flags == flags }

// Codec encodes and decodes segments. It reuses its buffers and is not safe for
// concurrent use.
type Codec struct {
	buffer     gopacket.SerializeBuffer
	parser     *gopacket.DecodingLayerParser
	decoded    []gopacket.LayerType
	gre        layers.GRE
	ip         layers.IPv4
	tcp        layers.TCP
	udp        layers.UDP
	payload    gopacket.Payload
	udpPayload []byte
}

// NewCodec returns a codec.
func NewCodec() *Codec {
	c := &Codec{buffer: gopacket.NewSerializeBuffer()}
	c.parser = gopacket.NewDecodingLayerParser(layers.LayerTypeGRE, &c.gre, &c.ip, &c.tcp, &c.udp)
	c.parser.IgnoreUnsupported = true
	return c
}

// Encode encodes a segment and returns the payload of the outer UDP packet, which
// is valid until the next call of Encode.
func (c *Codec) Encode(s Segment) ([]byte, error) {
	c.gre = layers.GRE{Protocol: layers.EthernetTypeIPv4}
	c.ip = layers.IPv4{
		Version:  4,
		TTL:      timeToLive,
		Protocol: layers.IPProtocol(s.Protocol),
		SrcIP:    s.From.Addr().AsSlice(),
		DstIP:    s.To.Addr().AsSlice(),
	}
	c.payload = s.Data
	if s.Protocol == config.UDP {
		c.udpPayload = append(append(c.udpPayload[:0], byte(s.Flags)), s.Data...)
		c.payload = c.udpPayload
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(c.buffer, options, &c.gre, &c.ip, c.transportLayer(s), &c.payload)
	return c.buffer.Bytes(), err
}

func (c *Codec) transportLayer(s Segment) gopacket.SerializableLayer {
	if s.Protocol == config.UDP {
		c.udp = layers.UDP{SrcPort: layers.UDPPort(s.From.Port()), DstPort: layers.UDPPort(s.To.Port())}
		_ = c.udp.SetNetworkLayerForChecksum(&c.ip)
		return &c.udp
	}
	c.tcp = layers.TCP{
		SrcPort: layers.TCPPort(s.From.Port()),
		DstPort: layers.TCPPort(s.To.Port()),
		SYN:     s.Has(SYN),
		ACK:     s.Has(ACK),
		FIN:     s.Has(FIN),
		RST:     s.Has(RST),
	}
	_ = c.tcp.SetNetworkLayerForChecksum(&c.ip)
	return &c.tcp
}

// Decode decodes the payload of an outer UDP packet. It returns false if the payload
// holds no segment.
func (c *Codec) Decode(data []byte) (Segment, bool) {
	if err := c.parser.DecodeLayers(data, &c.decoded); err != nil || len(c.decoded) < 3 {
		return Segment{}, false
	}
	from, _ := netip.AddrFromSlice(c.ip.SrcIP)
	to, _ := netip.AddrFromSlice(c.ip.DstIP)
	switch c.decoded[2] {
	case layers.LayerTypeTCP:
		return Segment{
			From:     netip.AddrPortFrom(from, uint16(c.tcp.SrcPort)),
			To:       netip.AddrPortFrom(to, uint16(c.tcp.DstPort)),
			Protocol: config.TCP,
			Flags:    Flag(c.tcp.Contents[tcpFlagsOffset]),
			Data:     c.tcp.Payload,
		}, true
	case layers.LayerTypeUDP:
		if len(c.udp.Payload) == 0 {
			return Segment{}, false
		}
		return Segment{
			From:     netip.AddrPortFrom(from, uint16(c.udp.SrcPort)),
			To:       netip.AddrPortFrom(to, uint16(c.udp.DstPort)),
			Protocol: config.UDP,
			Flags:    Flag(c.udp.Payload[0]),
			Data:     c.udp.Payload[1:],
		}, true
	default:
		return Segment{}, false
	}
}
