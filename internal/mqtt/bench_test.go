package mqtt

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eclipse/paho.golang/packets"

	"vetchwood/internal/control"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/subscribe"
)

// count is a connection that counts what comes.
type count struct {
	net.Conn
	n *atomic.Int64
}

func (c count) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Both fronts of one director in one run: so many proxies each, VETCHWOOD_PROXIES or 500. Memory is the process's, less
// what the clients' own buffers take on either side: each client is a bare socket with a small reader.
func BenchmarkFronts(b *testing.B) {
	n := 500
	if v, err := strconv.Atoi(os.Getenv("VETCHWOOD_PROXIES")); err == nil {
		n = v
	}
	for _, front := range []string{"poll", "mqtt"} {
		b.Run(front, func(b *testing.B) {
			r := bench(b, 2*n)
			var bytes atomic.Int64
			var came sync.WaitGroup
			memory := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapInuse + m.StackInuse)
			}
			before := memory()
			var clients []*bare
			for i := range n {
				c := &bare{b: b, name: fmt.Sprint("p", i), mqtt: front == "mqtt"}
				address := r.http.Addr().String()
				if c.mqtt {
					address = r.s.Addr().String()
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				c.conn = count{conn, &bytes}
				c.in = bufio.NewReaderSize(c.conn, 512)
				clients = append(clients, c)
				c.begin()
			}
			time.Sleep(3 * time.Second) // tables are laid, levels stated, all is quiet
			for _, c := range clients {
				came.Add(1)
				go c.follow(&came)
			}
			came.Wait()
			time.Sleep(2500 * time.Millisecond)
			held := memory()
			var last []float64
			sent := int64(0)
			for round := range b.N {
				for _, c := range clients {
					c.told.Store(0)
				}
				from := bytes.Load()
				began := time.Now()
				r.d.Post(control.HostList{Hosts: hosts(4, 1+round%3)})
				for _, c := range clients {
					for c.told.Load() == 0 {
						time.Sleep(200 * time.Microsecond)
					}
				}
				last = append(last, float64(time.Since(began).Microseconds())/1000)
				time.Sleep(1500 * time.Millisecond)
				sent += bytes.Load() - from
			}
			slices.Sort(last)
			b.ReportMetric(last[len(last)/2], "ms/to-the-last")
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "bytes/proxy-change")
			b.ReportMetric((held-before)/float64(n), "bytes/proxy")
			b.ReportMetric(0, "ns/op")
			for _, c := range clients {
				c.conn.Close()
			}
		})
	}
}

// both is a director with both fronts.
type both struct {
	*rig
	http *longpoll.Server
}

func bench(b *testing.B, proxies int) *both {
	r := &both{}
	log := slog.New(slog.DiscardHandler)
	d := newDirector(b, proxies, 30000)
	s, err := Listen("127.0.0.1:0", d.Entrance(1), Limits{Limits: subscribe.Limits{MaxSessions: proxies, MaxExpiry: 60000, AckTimeout: 30000, ConnectsPerSecond: 1e6, MaxWatchers: 5},
		MostPacket: 1 << 20, Connect: time.Minute, KeepAlive: time.Hour, Write: time.Second, LongestWait: 30000}, log)
	if err != nil {
		b.Fatal(err)
	}
	h, err := longpoll.Listen("127.0.0.1:0", d.Entrance(0), longpoll.Limits{MostHead: 1 << 14, MostBody: 1 << 20, SlowRequest: time.Minute, Idle: time.Hour,
		Write: time.Second, LongestWait: 30000}, log)
	if err != nil {
		b.Fatal(err)
	}
	r.rig, r.http = &rig{d, s}, h
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { d.Run(ctx, h, s); close(ran) }()
	go s.Serve()
	go h.Serve()
	b.Cleanup(func() { stop(); s.Close(); h.Close(); <-ran })
	d.Post(control.HostList{Hosts: hosts(4, -1)})
	return r
}

// bare is a client without a library.
type bare struct {
	b    *testing.B
	name string
	mqtt bool
	conn net.Conn
	in   *bufio.Reader
	tag  string
	told atomic.Int64
}

func (c *bare) begin() {
	if c.mqtt {
		c.conn.Write(pack(packets.CONNECT, &packets.Connect{ProtocolName: "MQTT", ProtocolVersion: 5, ClientID: c.name, CleanStart: true, Properties: &packets.Properties{}}))
		c.conn.Write(pack(packets.SUBSCRIBE, &packets.Subscribe{PacketID: 1, Properties: &packets.Properties{},
			Subscriptions: []packets.SubOptions{{Topic: subscribe.TablesTopic(c.name), QoS: 1}}}))
		return
	}
	fmt.Fprintf(c.conn, "GET /v1/proxies/%s/tables HTTP/1.1\r\nHost: d\r\n\r\n", c.name)
}

// follow takes documents until the connection ends, and is there once it has read the first.
func (c *bare) follow(came *sync.WaitGroup) {
	first := sync.OnceFunc(came.Done)
	for {
		if c.mqtt {
			p, err := packets.ReadPacket(c.in)
			if err != nil {
				return
			}
			if pub, is := p.Content.(*packets.Publish); is {
				c.told.Add(1)
				c.conn.Write(pack(packets.PUBACK, &packets.Puback{PacketID: pub.PacketID, Properties: &packets.Properties{}}))
				first()
			}
			continue
		}
		res, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, res.Body)
		c.tag = res.Header.Get("ETag")
		if res.StatusCode != http.StatusNotModified {
			c.told.Add(1)
		}
		first()
		fmt.Fprintf(c.conn, "GET /v1/proxies/%s/tables HTTP/1.1\r\nHost: d\r\nIf-None-Match: %s\r\nA-IM: json-patch\r\nPrefer: wait=30\r\n\r\n", c.name, c.tag)
	}
}
