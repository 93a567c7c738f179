package main

import (
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"
)

// scenario is a case: the rule that it is about, and its traffic and disruption.
type scenario struct {
	rule string
	run  func(*deployment)
}

// scenarios are the cases, by name.
var scenarios = map[string]scenario{
	"cut-server":  {"FLOW", cutServer},
	"ports-again": {"FLOW", portsAgain},
	"freeze":      {"FLOW", freeze},
	"evacuate":    {"EVAC", evacuate},
	"reborn":      {"FAILBACK", reborn},
}

// feed describes how a user keeps feeds open.
type feed struct {
	// requests are sent on a flow, with a pause between them.
	requests int
	pause    time.Duration
	// ports is the number of the user's ports, which it uses in turn.
	ports uint16
}

// portRest is how long a caller leaves a port alone after the end of its flow: the time that
// TCP keeps it in TIME-WAIT, and max_flow_s.
const portRest = 60 * time.Second

// startFeeds starts the users of the long flows.
func (d *deployment) startFeeds(f feed) {
	for _, c := range d.callers {
		for u := range usersOfCaller {
			d.users.Add(1)
			go func() {
				defer d.users.Done()
				time.Sleep(time.Duration(rand.Float64() * float64(f.pause)))
				first := firstUserPort + uint16(u)*2000
				ended := make([]time.Time, f.ports)
				for n := 0; !d.trafficEnded(); n = (n + 1) % int(f.ports) {
					for time.Since(ended[n]) < portRest && !d.trafficEnded() {
						time.Sleep(50 * time.Millisecond)
					}
					d.keepFeed(c, first+uint16(n), f)
					ended[n] = time.Now()
				}
			}()
		}
	}
}

// keepFeed opens one flow, sends its requests and closes it.
func (d *deployment) keepFeed(c *caller, port uint16, f feed) {
	flow, result := c.open(port, feedRoute)
	if result != done {
		time.Sleep(100 * time.Millisecond)
		return
	}
	for n := range f.requests {
		if n > 0 && flow.pause(time.Duration((0.8+0.4*rand.Float64())*float64(f.pause))) == wasReset {
			return
		}
		if d.trafficEnded() {
			break
		}
		if r := flow.request(feedDeadline); r != done {
			d.judge.note("flow %v: request: %s", flow.key.source, r)
			if r != wasReset {
				flow.leave()
			}
			return
		}
	}
	flow.close()
}

// startOrders starts the order lines and the profile sheets, each with a flow of its own.
func (d *deployment) startOrders() {
	d.users.Add(1)
	go func() {
		defer d.users.Done()
		for !d.trafficEnded() {
			time.Sleep(time.Duration(rand.ExpFloat64() / (ordersASecond + sheetsASecond) * float64(time.Second)))
			c := d.callers[rand.IntN(len(d.callers))]
			to := orderRoute
			if rand.Float64() < sheetsASecond/(ordersASecond+sheetsASecond) {
				to = sheetRoute
			}
			if port, free := c.orderPorts.take(); free {
				d.users.Add(1)
				go func() {
					defer d.users.Done()
					d.order(c, port, to)
					c.orderPorts.release(port)
				}()
			}
		}
	}()
}

// order sends one request on a flow of its own.
func (d *deployment) order(c *caller, port uint16, to netip.AddrPort) {
	flow, result := c.open(port, to)
	if result != done {
		return
	}
	if result = flow.request(orderDeadline); result == done {
		flow.close()
		return
	}
	if to == orderRoute {
		d.judge.note("order line of flow %v: %s; it may have run, so it is not sent again", flow.key.source, result)
	}
	flow.leave()
}

// portsAgain lets users open their feeds from a few ports in turn, none of them again less
// than 60 s after the flow that had it has ended, while instances are stopped and started
// one after the other.
func portsAgain(d *deployment) {
	d.startFeeds(feed{requests: 5, pause: time.Second, ports: 14})
	d.startOrders()
	time.Sleep(70 * time.Second)
	end := time.Now().Add(37 * time.Second)
	if d.trouble {
		for _, n := range d.random.Perm(len(d.instances))[:restarts] {
			d.restart(d.instances[n])
			if time.Until(end) < 5*time.Second {
				break
			}
		}
	}
	time.Sleep(time.Until(end))
}

// restarts is the number of instances that are restarted: at most the share 0.45 of them.
const restarts = 5

// restart stops an instance as planned and starts it again, and waits until it is back.
func (d *deployment) restart(i *instance) {
	d.judge.note("SIGTERM to %s", i.name)
	i.end(syscall.SIGTERM)
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		d.judge.note("%s: %v", i.name, err)
		return
	}
	d.judge.note("%s has been started again", i.name)
	time.Sleep(1300 * time.Millisecond)
}

// evacuate empties a zone some time after instances of it were frozen for a moment each.
func evacuate(d *deployment) {
	d.startFeeds(feed{requests: 5, pause: time.Second, ports: 1000})
	d.startOrders()
	end := time.Now().Add(107 * time.Second)
	time.Sleep(6 * time.Second)
	zone := len(zones) - 1
	first := len(d.instances) - instancesIn[zone]
	for _, n := range d.random.Perm(instancesIn[zone])[:frozen] {
		d.freezeOne(d.instances[first+n], d.trouble)
		time.Sleep(6 * time.Second)
	}
	time.Sleep(time.Until(end) - 35*time.Second)
	d.store.Put("op/evacuate/"+zones[zone], map[string]any{})
	d.judge.evacuate(zones[zone])
	time.Sleep(time.Until(end))
}

// frozen is the number of instances that are frozen before the evacuation.
const frozen = 3

// freezeOne stops an instance for 2.5 s, or only waits.
func (d *deployment) freezeOne(i *instance, trouble bool) {
	if trouble {
		d.judge.note("SIGSTOP to %s", i.name)
		d.judge.disturb(i.address)
		i.signal(syscall.SIGSTOP)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		i.signal(syscall.SIGCONT)
		d.judge.calm(i.address)
		d.judge.note("SIGCONT to %s", i.name)
	}
}

// freeze stops one instance for 2.5 s at a time, and lets it run again.
func freeze(d *deployment) {
	d.startFeeds(feed{requests: 2, pause: 8 * time.Second, ports: 1000})
	d.startOrders()
	end := time.Now().Add(105 * time.Second)
	time.Sleep(8 * time.Second)
	for time.Until(end) > 15*time.Second {
		i := d.instances[instancesIn[0]+d.random.IntN(len(d.instances)-instancesIn[0])]
		d.freezeOne(i, d.trouble)
		time.Sleep(7 * time.Second)
	}
	time.Sleep(time.Until(end))
}

// reborn lets the servers of a zone crash and start again at once, cold and under their ids.
func reborn(d *deployment) {
	d.startFeeds(feed{requests: 20, pause: time.Second, ports: 300})
	d.startOrders()
	end := time.Now().Add(100 * time.Second)
	time.Sleep(8 * time.Second)
	for time.Until(end) > 12*time.Second {
		d.coldReturn(zones[d.random.IntN(len(zones))])
		time.Sleep(6 * time.Second)
	}
	time.Sleep(time.Until(end))
}

// coldReturn lets the servers of a zone crash and start again, cold and under their ids.
func (d *deployment) coldReturn(zone string) {
	var affected []*server
	for _, s := range d.servers {
		if s.zone == zone {
			affected = append(affected, s)
		}
	}
	if d.trouble {
		d.judge.note("the servers of %s crash", zone)
		for _, s := range affected {
			s.crash()
		}
		time.Sleep(rebirth)
		d.judge.note("the servers of %s start again, cold", zone)
		for _, s := range affected {
			s.restart(warmup)
			d.store.Put(s.key(), s.entry("ready", 1, warmup))
		}
	}
	time.Sleep(warmup + 200*time.Millisecond)
	for _, s := range affected {
		if !d.trouble {
			continue
		}
		d.store.Put(s.key(), s.entry("ready", 3, 0))
		if peak := s.coldPeak(); peak > coldLimit {
			d.judge.violation("FAILBACK: %v got %d flows in one second while it was cold", s, peak)
		} else {
			d.judge.note("%v got at most %d flows in one second while it was cold", s, peak)
		}
	}
}

const (
	// rebirth is the time after which a crashed server starts again, warmup that for which
	// it is cold then.
	rebirth = 100 * time.Millisecond
	warmup  = 2 * time.Second
	// coldLimit is warmup_per_s x warmup_burst_factor + warmup_slack.
	coldLimit = 0*1.5 + 5
)

// cutServer cuts one server at a time off from all instances, in the two smaller zones.
func cutServer(d *deployment) {
	d.startFeeds(feed{requests: 6, pause: feedPause, ports: 1000})
	d.startOrders()
	end := time.Now().Add(105 * time.Second)
	time.Sleep(12 * time.Second)
	for time.Until(end) > 13*time.Second {
		s := d.servers[d.random.IntN(len(d.servers))]
		if s.service != "order-desk" || s.zone == zones[0] {
			continue
		}
		if d.trouble {
			d.judge.note("%v is cut off", s)
			d.judge.disturb(s.address.Addr())
			s.setCut(true)
		}
		time.Sleep(cutTime)
		if d.trouble {
			s.setCut(false)
			d.judge.calm(s.address.Addr())
			d.judge.note("%v is no longer cut off", s)
		}
		time.Sleep(9 * time.Second)
	}
	time.Sleep(time.Until(end))
}

const (
	// cutTime is how long a server is cut off, feedPause the mean pause between two requests
	// of a feed.
	cutTime   = 2500 * time.Millisecond
	feedPause = 9 * time.Second
)
