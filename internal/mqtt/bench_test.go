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
	"vetchwood/internal/mqttsession"
)

// countingConn is a connection that counts the bytes received.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkFronts compares long polling and MQTT on one director by the time from a change to the last proxy, the bytes
// sent to each proxy per change and the memory per proxy. VETCHWOOD_PROXIES sets the number of proxies, 500 by default.
// Memory is that of the whole process; each client is a plain socket with a small reader, to keep its own share low.
func BenchmarkFronts(b *testing.B) {
	n := 500
	if v, err := strconv.Atoi(os.Getenv("VETCHWOOD_PROXIES")); err == nil {
		n = v
	}
	for _, front := range []string{"poll", "mqtt"} {
		b.Run(front, func(b *testing.B) {
			r := newBenchRig(b, 2*n)
			var bytes atomic.Int64
			var first sync.WaitGroup
			memory := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapInuse + m.StackInuse)
			}
			before := memory()
			var clients []*rawClient
			for i := range n {
				c := &rawClient{b: b, name: fmt.Sprint("p", i), mqtt: front == "mqtt"}
				address := r.http.Addr().String()
				if c.mqtt {
					address = r.s.Addr().String()
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				c.conn = countingConn{conn, &bytes}
				c.in = bufio.NewReaderSize(c.conn, 512)
				clients = append(clients, c)
				c.subscribe()
			}
			time.Sleep(3 * time.Second) // until tables and levels are published and no more changes follow
			for _, c := range clients {
				first.Add(1)
				go c.follow(&first)
			}
			first.Wait()
			time.Sleep(2500 * time.Millisecond)
			held := memory()
			var last []float64
			sent := int64(0)
			for round := range b.N {
				for _, c := range clients {
					c.documents.Store(0)
				}
				from := bytes.Load()
				began := time.Now()
				r.d.Post(control.HostList{Hosts: hosts(4, 1+round%3)})
				for _, c := range clients {
					for c.documents.Load() == 0 {
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

// benchRig is a director that serves both protocols.
type benchRig struct {
	*rig
	http *longpoll.Server
}

func newBenchRig(b *testing.B, proxies int) *benchRig {
	r := &benchRig{}
	log := slog.New(slog.DiscardHandler)
	d := newDirector(b, proxies, 30000)
	s, err := Listen("127.0.0.1:0", d.ForFront(1), Limits{Limits: mqttsession.Limits{MaxSessions: proxies, MaxExpiry: 60000, AckTimeout: 30000, ConnectsPerSecond: 1e6, MaxWatchers: 5},
		MaxPacketBytes: 1 << 20, ConnectTimeout: time.Minute, MaxKeepAlive: time.Hour, WriteTimeout: time.Second, MaxWait: 30000}, log)
	if err != nil {
		b.Fatal(err)
	}
	h, err := longpoll.Listen("127.0.0.1:0", d.ForFront(0), longpoll.Limits{MaxHeadBytes: 1 << 14, MaxBodyBytes: 1 << 20, RequestTimeout: time.Minute, IdleTimeout: time.Hour,
		WriteTimeout: time.Second, MaxWait: 30000}, log)
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

// rawClient is a client on a plain socket, without a client library.
type rawClient struct {
	b         *testing.B
	name      string
	mqtt      bool
	conn      net.Conn
	in        *bufio.Reader
	tag       string
	documents atomic.Int64
}

// subscribe sends the first request: a subscription or a poll.
func (c *rawClient) subscribe() {
	if c.mqtt {
		c.conn.Write(encodeAs(packets.CONNECT, &packets.Connect{ProtocolName: "MQTT", ProtocolVersion: 5, ClientID: c.name, CleanStart: true, Properties: &packets.Properties{}}))
		c.conn.Write(encodeAs(packets.SUBSCRIBE, &packets.Subscribe{PacketID: 1, Properties: &packets.Properties{},
			Subscriptions: []packets.SubOptions{{Topic: mqttsession.TablesTopic(c.name), QoS: 1}}}))
		return
	}
	fmt.Fprintf(c.conn, "GET /v1/proxies/%s/tables HTTP/1.1\r\nHost: d\r\n\r\n", c.name)
}

// follow receives documents until the connection is closed, and calls first.Done after the first one.
func (c *rawClient) follow(first *sync.WaitGroup) {
	markFirst := sync.OnceFunc(first.Done)
	for {
		if c.mqtt {
			p, err := packets.ReadPacket(c.in)
			if err != nil {
				return
			}
			if pub, ok := p.Content.(*packets.Publish); ok {
				c.documents.Add(1)
				c.conn.Write(encodeAs(packets.PUBACK, &packets.Puback{PacketID: pub.PacketID, Properties: &packets.Properties{}}))
				markFirst()
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
			c.documents.Add(1)
		}
		markFirst()
		fmt.Fprintf(c.conn, "GET /v1/proxies/%s/tables HTTP/1.1\r\nHost: d\r\nIf-None-Match: %s\r\nA-IM: json-patch\r\nPrefer: wait=30\r\n\r\n", c.name, c.tag)
	}
}
