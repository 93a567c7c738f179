package forward

import (
	"net"
	"net/netip"
	"testing"

	"golang.org/x/net/ipv4"

	"balsamfork/internal/packet"
)

// BenchmarkRead compares three ways to read packets with their sources: the batch
// read of golang.org/x/net, one read per packet, and direct calls of recvmmsg.
// Sending the packets is not timed.
func BenchmarkRead(b *testing.B) {
	address := netip.MustParseAddrPort("127.0.0.1:0")
	readers := map[string]func(*net.UDPConn) func() int{
		"batch of x/net": func(conn *net.UDPConn) func() int {
			batch := ipv4.NewPacketConn(conn)
			messages := make([]ipv4.Message, batchSize)
			for i := range messages {
				messages[i].Buffers = [][]byte{make([]byte, maxPacketSize)}
			}
			return func() int { n, _ := batch.ReadBatch(messages, 0); return n }
		},
		"one by one": func(conn *net.UDPConn) func() int {
			buf := make([]byte, maxPacketSize)
			return func() int { _, _, _ = conn.ReadFromUDPAddrPort(buf); return 1 }
		},
		"direct recvmmsg": func(conn *net.UDPConn) func() int {
			buffers := make([][]byte, batchSize)
			for i := range buffers {
				buffers[i] = make([]byte, maxPacketSize)
			}
			r, err := newReader(conn, buffers)
			if err != nil {
				b.Fatal(err)
			}
			return func() int { n, _ := r.read(); return n }
		},
	}
	for name, newRead := range readers {
		b.Run(name, func(b *testing.B) {
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			read := newRead(conn)
			target := conn.LocalAddr().(*net.UDPAddr).AddrPort()
			sender, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
			if err != nil {
				b.Fatal(err)
			}
			defer sender.Close()
			data := make([]byte, 100)
			b.ReportAllocs()
			for done := 0; done < b.N; {
				b.StopTimer()
				for range batchSize {
					_, _ = sender.WriteToUDPAddrPort(data, target)
				}
				b.StartTimer()
				for got := 0; got < batchSize; {
					got += read()
				}
				done += batchSize
			}
		})
	}
}

// BenchmarkPath measures one packet from reading to writing, with a fixed verdict.
// Sending the packets to the worker is not timed.
func BenchmarkPath(b *testing.B) {
	w, packets, _ := newTestWorker(b)
	sender, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		b.Fatal(err)
	}
	defer sender.Close()
	target := w.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	b.ReportAllocs()
	for done := 0; done < b.N; {
		b.StopTimer()
		for range batchSize {
			_, _ = sender.WriteToUDPAddrPort(packets[0][packet.Headroom:], target)
		}
		b.StartTimer()
		for got := 0; got < batchSize; {
			n, err := w.reader.read()
			if err != nil {
				b.Fatal(err)
			}
			w.handleBatch(n)
			got += n
		}
		done += batchSize
	}
}
