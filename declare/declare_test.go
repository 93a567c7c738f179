package declare_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/declare"
	"balsamfork/internal/config"
)

func Example() {
	c := declare.New()
	plain := c.DataCentre("ost-plain-a", declare.Region("ost-plain"))
	desk := c.TCP("order-desk", "203.0.113.10:443", declare.Slots(4), declare.IdleLimit(15*time.Minute))
	desk.Server("desk-01", plain, declare.Packets("127.0.10.1:4754"), declare.Weight(50))
	if err := c.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// {
	//   "format": 1,
	//   "dataCentres": [
	//     {
	//       "name": "ost-plain-a",
	//       "region": "ost-plain"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "order-desk",
	//       "address": "203.0.113.10:443",
	//       "protocol": "tcp",
	//       "idleLimit": "15m0s",
	//       "slots": 4,
	//       "backendServers": [
	//         {
	//           "name": "desk-01",
	//           "dataCentre": "ost-plain-a",
	//           "packets": "127.0.10.1:4754",
	//           "weight": 50,
	//           "state": "active"
	//         }
	//       ]
	//     }
	//   ]
	// }
}

// Print reports all problems of a declaration together.
func ExampleConfig_Print_problems() {
	c := declare.New()
	plain := c.DataCentre("ost-plain-a")
	desk := c.TCP("order-desk", "203.0.113.10", declare.Ramp(0, time.Minute))
	desk.Server("desk-01", plain, declare.Packets("127.0.10.1:4754"), declare.Weight(-1))
	desk.Server("desk-01", nil, declare.Packets("127.0.10.1:4754"))
	fmt.Println(c.Print(os.Stdout))
	// Output:
	// services[0].address: must be an IP address and port such as 203.0.113.7:443, is "203.0.113.10"
	// services[0].ramp.start: must be over 0 and at most 1, is 0
	// services[0].backendServers[0].weight: must be from 1 to 1000, is 0; a backend server that shall take nothing new is draining
	// services[0].backendServers[1].name: desk-01 is used already by services[0].backendServers[0].name
	// services[0].backendServers[1].dataCentre: unknown data centre ""
	// services[0].backendServers[1].packets: packets 127.0.10.1:4754 is used already by services[0].backendServers[0].packets
}

// TestOptions guards against an option that is lost in the printed document. It sets
// every option and parses the document.
func TestOptions(t *testing.T) {
	is := is.New(t)
	c := declare.New()
	dc := c.DataCentre("a", declare.Region("r"))
	c.DataCentre("b", declare.Out())
	s := c.UDP("u", "203.0.113.1:53", declare.Slots(2), declare.IdleLimit(time.Minute), declare.Ramp(0.5, time.Hour))
	s.Server("x", dc, declare.Packets("127.0.0.1:1"), declare.Requests("127.0.0.1:2"),
		declare.Health("http://127.0.0.1:3/"), declare.Weight(7), declare.Draining())
	is.NoErr(c.Check())
	var b bytes.Buffer
	is.NoErr(c.Print(&b))
	doc, err := config.ParseDocument(b.Bytes())
	is.NoErr(err)
	is.True(doc.DataCentres[1].Out)
	is.Equal(doc.Services[0].Protocol, config.UDP)
	is.Equal(doc.Services[0].BackendServers[0].State, config.Draining)
	is.Equal(doc.Services[0].BackendServers[0].Weight, uint32(7))
	is.Equal(c.Print(failingWriter{}), errFull)
}

var errFull = errors.New("full")

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errFull }
