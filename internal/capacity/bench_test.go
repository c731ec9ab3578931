package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/internal/capacity/measure"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache/storehttp"
	"github.com/cherryward/cherryward/internal/logservice"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/settings"
)

// endpointsPerStore is the number of endpoints per store host in a benchmark's view.
const endpointsPerStore = 12

// viewOf returns a configuration view with the given number of endpoints, of which each
// endpointsPerStore-th is a store host.
func viewOf(endpoints int) *config.View {
	view := config.NewView()
	for i := range endpoints {
		e := &pb.Endpoint{Name: fmt.Sprintf("endpoint-%05d", i), Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE, Url: urlOf(i), Models: []string{fmt.Sprint("m", i%39)}}
		if i%endpointsPerStore == 0 {
			e.Kind, e.Models = pb.EndpointKind_ENDPOINT_KIND_STORE, nil
		}
		view = view.With(config.Entry{Kind: config.KindEndpoint, Name: e.GetName(), Revision: int64(i + 1), Value: e})
	}
	return view
}

func urlOf(i int) string  { return "http://" + addrOf(i) }
func addrOf(i int) string { return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255) }

// measurePerOp runs f in the benchmark loop and reports the processor time of all goroutines per run. On
// a shared machine it varies less than the elapsed time.
func measurePerOp(b *testing.B, f func()) {
	b.ReportAllocs()
	cpu := measure.CPUTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(measure.CPUTime()-cpu)/float64(b.N), "cpu-ns/op")
}

// BenchmarkRolloutSweep measures the sweep by which rollout.Service finds, each second, the engines
// that the node owns.
func BenchmarkRolloutSweep(b *testing.B) {
	for _, n := range []int{100, 1000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c, view := runningCluster(b, hostsOf(1), func(*cluster.Cluster) bool { return true }), viewOf(n)
			for e := range view.All(config.KindEndpoint) {
				c.Track(e.GetName())
			}
			measurePerOp(b, func() {
				for value := range view.All(config.KindEndpoint) {
					e, ok := value.(*pb.Endpoint)
					_ = ok && e.GetKind() == pb.EndpointKind_ENDPOINT_KIND_ENGINE && c.Owns(e.GetName())
				}
			})
		})
	}
}

// BenchmarkReadState measures a request for an engine's loaded weights, which its rollout worker sends
// every two seconds.
func BenchmarkReadState(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("weights=%d", n), func(b *testing.B) {
			state := enginewire.State{Incarnation: strings.Repeat("i", 16), Role: "serving", KVLayout: "layout-a", BlockTokens: 2048, BlockBytes: 64 << 20, EventSeq: 123456, MaxRunning: 256}
			for i := range n {
				state.Loaded = append(state.Loaded, enginewire.Loaded{Model: "model-17", Version: "v3", Adapter: fmt.Sprintf("adapter-%d", i)})
			}
			data, err := json.Marshal(state)
			must.NoError(b, err)
			server, client := newCanned(b, data), engine.WeightsClient{Client: engine.NewClient()}
			measurePerOp(b, func() {
				got, err := client.State(b.Context(), server.URL)
				must.NoError(b, err)
				must.SliceLen(b, n, got.Loaded)
			})
			b.ReportMetric(float64(len(data)), "body-bytes")
		})
	}
}

func hostsOf(n int) []byte {
	list := hostwire.List{Version: 1}
	for i := range n {
		state := hostwire.Live
		if i%100 == 99 {
			state = hostwire.Leaving
		}
		list.Hosts = append(list.Hosts, hostwire.Host{ID: fmt.Sprintf("host-%05d", i), Addr: addrOf(i), Domain: fmt.Sprintf("domain-%02d", i%12), State: state})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return data
}

func newCanned(b *testing.B, data []byte) *measure.Canned {
	c, err := measure.NewCanned(data)
	must.NoError(b, err)
	b.Cleanup(c.Close)
	return c
}

// BenchmarkReadHosts measures reading the platform's host list, as each node does each second.
func BenchmarkReadHosts(b *testing.B) {
	for _, n := range []int{100, 1000, 13000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			data := hostsOf(n)
			hosts := logservice.NewHosts(newCanned(b, data).URL)
			measurePerOp(b, func() {
				_, err := hosts.List(b.Context())
				must.NoError(b, err)
			})
			b.ReportMetric(float64(len(data)), "body-bytes")
		})
	}
}

// runningCluster returns a cluster of one node after the host list it has read satisfies until.
func runningCluster(b *testing.B, hosts []byte, until func(*cluster.Cluster) bool) *cluster.Cluster {
	s := settings.Default()
	s.Node.ID, s.Node.FailureDomain = "node-1", "north"
	s.Peers.Address, s.Peers.Key = "127.0.0.1:0", "0123456789abcdef"
	s.Hosts.URL, s.Hosts.PollInterval = newCanned(b, hosts).URL, settings.Duration(time.Hour)
	c, err := cluster.New(&s, nil, nil, zerolog.Nop())
	must.NoError(b, err)
	read := make(chan struct{}, 1)
	c.OnChange(func() {
		select {
		case read <- struct{}{}:
		default:
		}
	})
	go func() { _ = c.Run(b.Context()) }()
	for !until(c) {
		<-read
	}
	return c
}

// BenchmarkHostLeaving measures whether an endpoint's host is leaving, which an entry node checks for
// each candidate of a prompt. Each hundredth host is leaving, including the endpoint's.
func BenchmarkHostLeaving(b *testing.B) {
	for _, n := range []int{100, 1000, 13000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			endpoint := &pb.Endpoint{Url: urlOf(n - 1)}
			c := runningCluster(b, hostsOf(n), func(c *cluster.Cluster) bool { return c.HostLeaving(endpoint) })
			measurePerOp(b, func() { c.HostLeaving(endpoint) })
		})
	}
}

// BenchmarkReadLoad measures one load request to each engine that a node owns.
func BenchmarkReadLoad(b *testing.B) {
	data, err := json.Marshal(enginewire.Load{Incarnation: "0123456789abcdef", Running: 24, Waiting: 3, WaitingTokens: 90_000, CacheUsed: 0.87, AgeMS: 812})
	must.NoError(b, err)
	for _, n := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			server := newCanned(b, data)
			client := engine.NewClient()
			measurePerOp(b, func() {
				for range n {
					_, err := client.Load(b.Context(), server.URL)
					must.NoError(b, err)
				}
			})
			b.ReportMetric(float64(server.WireBytes())/float64(b.N), "wire-bytes/op")
		})
	}
}

// BenchmarkListStore measures listing the blocks and manifests of a store host, as in a sweep.
func BenchmarkListStore(b *testing.B) {
	for _, n := range []int{100, 500, 1000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks, manifests := storeLists(b, n)
			client := storehttp.NewClient(newCanned(b, blocks).URL, http.DefaultClient)
			named := storehttp.NewClient(newCanned(b, manifests).URL, http.DefaultClient)
			measurePerOp(b, func() {
				page, err := client.ListBlocks(b.Context(), "", n)
				must.NoError(b, err)
				must.SliceLen(b, n, page.Blocks)
				_, err = named.ListManifests(b.Context(), "", n)
				must.NoError(b, err)
			})
			b.ReportMetric(float64(len(blocks)+len(manifests)), "body-bytes")
		})
	}
}

func storeLists(b *testing.B, n int) (blocks, manifests []byte) {
	hash := "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	var list storewire.BlockList
	var named storewire.ManifestList
	for i := range n {
		name := fmt.Sprintf("%s%06d", hash[:26], i)
		key := fmt.Sprintf("%s.layout-a.%d", hash[:32], i)
		list.Blocks = append(list.Blocks, storewire.BlockInfo{Name: name, Bytes: 64 << 20, Checksum: hash, Complete: true, Tier: storewire.TierDisk, AgeMS: 86_400_000})
		named.Manifests = append(named.Manifests, storewire.Manifest{Key: key, Parent: key, Index: i % 30, Name: name, Block: hash[:32], EndToken: 2048 * (i % 30), Bytes: 64 << 20,
			Checksum: hash, Account: "account-0815", Model: "model-17", Version: "v3", Layout: "layout-a"})
	}
	blocks, err := json.Marshal(list)
	must.NoError(b, err)
	manifests, err = json.Marshal(named)
	must.NoError(b, err)
	return blocks, manifests
}

type payload struct {
	Text string `json:"t"`
}

var key = []byte("0123456789abcdef")

// peerServer starts a peer server that returns resp to each call of the method, and returns its
// address.
func peerServer[Req, Resp any](b *testing.B, id int, method string, resp *Resp, _ *Req) string {
	s := peers.NewServer(key, &peers.Traffic{})
	s.SetIdentity(peers.Identity{ID: fmt.Sprint("n", id), Incarnation: 1})
	peers.Handle(s, method, func(context.Context, peers.Identity, *Req) (*Resp, error) { return resp, nil })
	addr, err := s.Listen("127.0.0.1:0", nil)
	must.NoError(b, err)
	go func() { _ = s.Serve() }()
	b.Cleanup(func() { _ = s.Close() })
	return addr.String()
}

// BenchmarkPeerCall measures a call between two nodes, with both ends in this process.
func BenchmarkPeerCall(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("payload=%d", n), func(b *testing.B) {
			benchCall(b, "echo", &payload{Text: strings.Repeat("x", n)}, &payload{})
		})
	}
}

// BenchmarkPeerConnections reports the memory of connections to many nodes, for both ends together.
func BenchmarkPeerConnections(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				addrs := make([]string, n)
				for i := range addrs {
					addrs[i] = peerServer(b, i, "echo", &payload{}, &payload{})
				}
				before := measure.MemoryInUse()
				pool := peers.NewPool(peers.Identity{ID: "n0", Incarnation: 1}, key, nil, &peers.Traffic{})
				for _, addr := range addrs {
					_, err := peers.Call[payload, payload](b.Context(), pool, addr, "echo", &payload{})
					must.NoError(b, err)
				}
				b.ReportMetric(measure.MemoryInUse()-before, "bytes")
			}
		})
	}
}
