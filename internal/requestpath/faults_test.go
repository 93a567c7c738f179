package requestpath_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/client"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/request"
	"balsamfork/internal/standin/worker"
)

// runOnFleet runs a test on a fleet that is ready, in fake time.
func runOnFleet(t *testing.T, instances, servers int, f func(t *testing.T, is *is.I, s *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(instances, servers)
		defer s.close()
		time.Sleep(12 * time.Second)
		f(t, is.New(t), s)
	})
}

func (s *testFleet) counts() (sum worker.Counts) {
	for _, w := range s.workers {
		c := w.Counts()
		sum.Started += c.Started
		sum.Finished += c.Finished
		sum.Cancelled += c.Cancelled
		sum.Exceeded += c.Exceeded
		sum.Repeated += c.Repeated
	}
	return sum
}

var orderRequest = client.Request{Service: "orders", Method: "order.add", Params: map[string]int{"line": 1}}

// TestInvalidAnswerIsUnknown injects every fault into the answers of backend
// servers: a caller gets the complete answer to its own request, or Unknown. A run
// that is not known to have ended keeps its slot until its deadline; a request that
// gets no slot is refused and has not run.
func TestInvalidAnswerIsUnknown(t *testing.T) {
	for fault, answered := range map[worker.Fault]bool{
		worker.None: true, worker.Delay: true, worker.DuplicateReply: true,
		worker.DropReply: false, worker.MislabelReply: false, worker.TruncateReply: false, worker.Oversize: false,
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runOnFleet(t, 3, 2, func(t *testing.T, is *is.I, s *testFleet) {
				for _, w := range s.workers {
					w.SetFault(fault)
				}
				c := s.client(0)
				defer c.Close()
				kinds := make(map[string]int)
				for i := range 10 {
					ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
					var v worker.Value
					err := c.Do(ctx, client.Request{Service: "orders", Method: "m", Params: []int{i}}, &v)
					cancel()
					if answered {
						is.NoErr(err)
						is.Equal(string(v.Params), fmt.Sprintf("[%d]", i))
						continue
					}
					kinds[errorKind(err)]++
				}
				if !answered {
					is.Equal(kinds["unknown"], s.counts().Started)
					is.Equal(kinds["unknown"]+kinds["refused"], 10)
					is.True(kinds["unknown"] >= 5)
				}
				is.Equal(s.counts().Repeated, 0)
				is.Equal(s.counts().Exceeded, 0)
			})
		})
	}
}

// TestCopiesRunOnce sends copies of one request through all instances concurrently:
// it runs once, and all copies get the same answer, later ones too.
func TestCopiesRunOnce(t *testing.T) {
	runOnFleet(t, 3, 2, func(t *testing.T, is *is.I, s *testFleet) {
		var wg sync.WaitGroup
		results := make([]request.Result, 9)
		do := func(i int) {
			r := request.Request{
				Key:     request.Key{ID: "same", Created: time.Now().UnixMilli(), Home: "a"},
				Service: "orders", Method: "m", TimeoutMs: 1000,
			}
			results[i] = s.paths[i%3].Do(t.Context(), &r)
		}
		for i := range 6 {
			wg.Go(func() { do(i) })
		}
		wg.Wait()
		for i := 6; i < 9; i++ {
			do(i)
		}
		for _, r := range results {
			is.Equal(r, results[0])
			is.Equal(r.Status, request.Answered)
		}
		is.Equal(s.counts().Started, 1)
		late := request.Request{Key: request.Key{ID: "same", Created: time.Now().UnixMilli(), Home: "a"}, Service: "orders", Method: "other", TimeoutMs: 1000}
		is.Equal(s.paths[0].Do(t.Context(), &late).Status, request.Refused)
		old := request.Request{Key: request.Key{ID: "old", Created: time.Now().Add(-3 * time.Minute).UnixMilli(), Home: "a"}, Service: "orders", Method: "m", TimeoutMs: 1000}
		is.Equal(s.paths[0].Do(t.Context(), &old), request.UnknownResult(request.Expired))
		is.Equal(s.counts().Started, 1)
	})
}

// TestDisconnectedCallerIsCancelled closes a caller's connection, cancels its
// context, or lets its deadline pass: the request is cancelled at the backend server.
func TestDisconnectedCallerIsCancelled(t *testing.T) {
	for name, end := range map[string]func(c *client.Client, cancel func()){
		"connection": func(c *client.Client, _ func()) { c.Close() },
		"context":    func(_ *client.Client, cancel func()) { cancel() },
		"deadline":   func(*client.Client, func()) {},
	} {
		t.Run(name, func(t *testing.T) {
			runOnFleet(t, 3, 1, func(t *testing.T, is *is.I, s *testFleet) {
				s.workers[0].SetCold(true)
				c := client.New(address(0))
				c.Dial = s.dial
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				done := make(chan error)
				go func() { done <- c.Do(ctx, orderRequest, nil) }()
				time.Sleep(20 * time.Millisecond)
				is.Equal(s.workers[0].Running(), 1)
				end(c, cancel)
				time.Sleep(350 * time.Millisecond)
				is.Equal(s.workers[0].Running(), 0)
				is.Equal(s.counts().Cancelled, 1)
				is.True(<-done != nil)
				c.Close()
			})
		})
	}
}

// TestDrainLosesNoRequest drains each instance in turn under load: requests in
// progress complete, new ones go to other instances, and none is refused or lost.
func TestDrainLosesNoRequest(t *testing.T) {
	for index := range 4 {
		t.Run(fmt.Sprint(index), func(t *testing.T) { drainUnderLoad(t, index) })
	}
}

func drainUnderLoad(t *testing.T, index int) {
	runOnFleet(t, 4, 4, func(t *testing.T, is *is.I, s *testFleet) {
		var wg sync.WaitGroup
		errs := make(chan error, 1000)
		for i := range 8 {
			wg.Go(func() {
				c := s.client(i)
				defer c.Close()
				for range 100 {
					errs <- c.Do(t.Context(), orderRequest, nil)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		s.setState(index, fleet.Leaving)
		began := time.Now()
		is.NoErr(s.paths[index].Drain(t.Context()))
		is.True(time.Since(began) < 5*time.Second)
		s.paths[index].Close()
		s.setState(index, fleet.Dead)
		wg.Wait()
		close(errs)
		for err := range errs {
			is.NoErr(err)
		}
		is.Equal(s.counts().Exceeded, 0)
		is.Equal(s.counts().Repeated, 0)
	})
}

func (s *testFleet) setState(index int, state fleet.State) {
	v := *s.view
	v.Epoch++
	v.Instances = append([]fleet.Instance(nil), v.Instances...)
	v.Instances[index].State = state
	s.view = &v
	for _, p := range s.paths {
		p.SetView(&v)
	}
}

// TestServerDrains drains a backend server: it gets no new requests, and no request
// is refused because of the drain.
func TestServerDrains(t *testing.T) {
	runOnFleet(t, 3, 3, func(t *testing.T, is *is.I, s *testFleet) {
		c := s.client(0)
		defer c.Close()
		for i := range 30 {
			if i == 15 {
				cfg := *s.cfg
				cfg.Version++
				sv := cfg.Services[0]
				sv.Servers = append([]config.Server(nil), sv.Servers...)
				sv.Servers[0].State = config.Draining
				cfg.Services = []config.Service{sv}
				for _, p := range s.paths {
					p.SetConfig(&cfg)
				}
				time.Sleep(2 * time.Second)
			}
			before := s.workers[0].Counts().Started
			is.NoErr(c.Do(t.Context(), orderRequest, nil))
			is.True(i < 15 || s.workers[0].Counts().Started == before)
		}
	})
}

// TestBoundJoin adds an instance under load to a data centre that has been running
// for a while: it serves requests within 3 s, and none is refused or lost.
func TestBoundJoin(t *testing.T) {
	runOnFleet(t, 3, 4, func(t *testing.T, is *is.I, s *testFleet) {
		var wg sync.WaitGroup
		errs := make(chan error, 2000)
		for i := range 6 {
			wg.Go(func() {
				c := s.client(i)
				defer c.Close()
				for range 250 {
					errs <- c.Do(t.Context(), orderRequest, nil)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		s.join(uint64(time.Now().UnixMilli()))
		time.Sleep(3 * time.Second)
		is.True(s.ready())
		c := client.New(address(3))
		c.Dial = s.dial
		for range 20 {
			is.NoErr(c.Do(t.Context(), orderRequest, nil))
		}
		is.Equal(c.Retries(), int64(0))
		is.NoErr(c.Close())
		wg.Wait()
		close(errs)
		for err := range errs {
			is.NoErr(err)
		}
		is.Equal(s.counts().Exceeded, 0)
		is.Equal(s.counts().Repeated, 0)
	})
}

// TestCrashedInstance kills an instance while requests run: no more requests are
// reported as answered than have finished, no slot limit is exceeded, none runs
// twice, and the other instances keep serving.
func TestCrashedInstance(t *testing.T) {
	runOnFleet(t, 5, 4, func(t *testing.T, is *is.I, s *testFleet) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[string]int)
		for i := range 6 {
			wg.Go(func() {
				c := s.client(i)
				defer c.Close()
				for range 60 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					err := c.Do(ctx, orderRequest, nil)
					cancel()
					mu.Lock()
					kinds[errorKind(err)]++
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		s.mesh.Kill("i1")
		s.paths[1].Close()
		time.Sleep(time.Second)
		s.setState(1, fleet.Dead)
		wg.Wait()
		t.Log(kinds, s.counts())
		is.Equal(s.counts().Exceeded, 0)
		is.Equal(s.counts().Repeated, 0)
		is.True(kinds["answered"] >= 300)
		is.True(kinds["answered"] <= s.counts().Finished)
		time.Sleep(12 * time.Second)
		is.True(s.paths[0].Ready())
	})
}

func errorKind(err error) string {
	switch {
	case err == nil:
		return "answered"
	case client.Refused.Has(err):
		return "refused"
	case client.Unknown.Has(err):
		return "unknown"
	}
	return "other"
}

// TestBadMessages sends invalid messages: the error names the field, and no request
// reaches a backend server.
func TestBadMessages(t *testing.T) {
	runOnFleet(t, 1, 1, func(t *testing.T, is *is.I, s *testFleet) {
		for raw, want := range map[string]string{
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"","created":1},"service":"orders","method":"m","timeoutMs":5}}`:               "key.id",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"x","created":1},"service":"orders","method":"m","timeoutMs":99999999}}`:       "timeoutMs",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"x","created":1},"service":"orders","method":"m","timeoutMs":5,"extra":1}}`:    "extra",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"x","created":1},"service":"orders","method":"m","timeoutMs":5,"deadline":7}}`: "deadline",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"x","created":1},"service":"orders","method":"m","timeoutMs":5}}`:              `"unknown"`,
			`{"jsonrpc":"2.0","id":1,"method":"nothing"}`:                                                                                                           "no such method",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":"` + strings.Repeat("x", request.MaxFrameBytes) + `"}`:                                          "",
			`{"jsonrpc":"2.0","id":1,"method":"request.do","params":{"key":{"id":"x","created":1},"service":"none","method":"m","timeoutMs":50,"repeatable":true}}`: "no such service",
			`{"jsonrpc":"2.0","id":1,"method":"request.home"}`:                                                                                                      `"home":"a"`,
		} {
			conn, err := s.dial(t.Context(), address(0))
			is.NoErr(err)
			go conn.Write([]byte(raw))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			b := make([]byte, 1000)
			n, err := conn.Read(b)
			is.True(n > 0 || want == "" && err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
			if !strings.Contains(string(b[:n]), want) {
				t.Errorf("%.200s: answered %s, wanted %s", raw, b[:n], want)
			}
			conn.Close()
		}
		is.Equal(s.counts().Started, 0)
	})
}

// TestBoundOverloadEndToEnd sends ten times the capacity of the backend servers
// through all instances: the slots stay full, no slot limit is exceeded, and every
// request that was started is reported as answered, every other one as refused.
func TestBoundOverloadEndToEnd(t *testing.T) {
	runOnFleet(t, 3, 3, func(t *testing.T, is *is.I, s *testFleet) {
		const (
			perSecond = 10 * 3 * slots * 50 // 20 ms a request
			duration  = 2 * time.Second
		)
		var wg sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[request.Status]int)
		before := s.counts()
		began := time.Now()
		for i := 0; time.Since(began) < duration; i++ {
			wg.Go(func() {
				r := request.Request{
					Key:     request.Key{ID: fmt.Sprint("k", i), Created: time.Now().UnixMilli(), Home: "a"},
					Service: "orders", Method: "m", TimeoutMs: 500, Repeatable: i%2 == 0,
				}
				res := s.paths[i%3].Do(t.Context(), &r)
				mu.Lock()
				defer mu.Unlock()
				kinds[res.Status]++
			})
			time.Sleep(time.Second / perSecond)
		}
		done := s.counts().Finished - before.Finished
		wg.Wait()
		capacity := 3 * slots * 50 * int(duration/time.Second)
		after := s.counts()
		t.Logf("%d of %d possible, %v", done, capacity, kinds)
		is.True(done*10 >= capacity*9)
		is.Equal(after.Exceeded, 0)
		is.Equal(after.Repeated, 0)
		is.Equal(kinds[request.Answered], after.Started-before.Started)
		is.Equal(kinds[request.Unknown], 0)
	})
}

// TestRepliesAreRetried makes three calls of a reply method fail during each
// request: every request is still answered, and runs once.
func TestRepliesAreRetried(t *testing.T) {
	const failures = 3
	for _, method := range []string{"request.result", "request.outcome"} {
		t.Run(method, func(t *testing.T) {
			runOnFleet(t, 3, 2, func(t *testing.T, is *is.I, s *testFleet) {
				c := s.client(0)
				defer c.Close()
				for range 20 {
					s.mesh.FailNext(method, failures)
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					is.NoErr(c.Do(ctx, orderRequest, nil))
					cancel()
				}
				is.Equal(s.counts().Repeated, 0)
			})
		})
	}
}
