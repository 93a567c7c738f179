// Package declare builds the configuration of balsamfork in Go and prints it as the
// JSON document that the command-line tool reads.
//
//	c := declare.New()
//	plain := c.DataCentre("ost-plain-a", declare.Region("ost"))
//	desk := c.TCP("order-desk", "203.0.113.10:443", declare.Slots(4))
//	desk.Server("desk-a1", plain, declare.Packets("127.1.0.1:4754"))
//	if err := c.Print(os.Stdout); err != nil {
//		log.Fatal(err)
//	}
//
// Errors are not reported until Check or Print, which return all problems of an invalid
// declaration at once, each with the path of its field.
package declare
