package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Site is the place of a node.
type Site struct {
	Name, DataCentre, Region string
}

// Config holds the delays of one direction and the rate between regions.
type Config struct {
	DataCentreDelay time.Duration // one way between data centres of a region
	RegionDelay     time.Duration // one way between regions
	RegionBandwidth int           // bytes a second between regions, each way, shared
}

const (
	chunk     = 16 << 10
	queue     = 256
	cutPoll   = 5 * time.Millisecond
	dialLimit = time.Second
)

// Link relays the connections between nodes.
type Link struct {
	cfg   Config
	ln    net.Listener
	mu    sync.Mutex
	sites map[string]Site // by name
	addrs map[string]string
	cuts  map[[2]string]bool          // by name or region, from and to
	slow  map[[2]string]time.Duration // further delay by name, region or data centre
	conns map[net.Conn][2]Site        // both ends of each relayed connection
	pipes map[string]*rate.Limiter
	far   atomic.Int64
	near  atomic.Int64
}

// Listen returns a link on a loopback port.
func Listen(cfg Config) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		cfg: cfg, ln: ln,
		sites: make(map[string]Site), addrs: make(map[string]string),
		cuts: make(map[[2]string]bool), slow: make(map[[2]string]time.Duration), conns: make(map[net.Conn][2]Site),
		pipes: make(map[string]*rate.Limiter),
	}
	go l.accept()
	return l, nil
}

// Addr returns the address to which nodes connect.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Close ends the link.
func (l *Link) Close() { _ = l.ln.Close() }

// SetSite tells where the node with the peer address is.
func (l *Link) SetSite(s Site, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sites[s.Name] = s
	if address != "" {
		l.addrs[address] = s.Name
	}
}

// SetBlocked stops or heals the bytes from one node, data centre or region to another; the other direction is not changed.
func (l *Link) SetBlocked(from, to string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]string{from, to}] = on
}

// SetExtraDelay delays the bytes from one node, data centre or region to another further; 0 ends it.
func (l *Link) SetExtraDelay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow[[2]string{from, to}] = d
}

// ResetConnections breaks the connections between two nodes, data centres or regions.
func (l *Link) ResetConnections(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, ends := range l.conns {
		if ends[0].within(a) && ends[1].within(b) || ends[0].within(b) && ends[1].within(a) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// within reports whether the site is the named node, or in the named data centre or region.
func (s Site) within(name string) bool {
	return s.Name == name || s.DataCentre == name || s.Region == name
}

// between returns what a map by names holds for the direction.
func between[T bool | time.Duration](m map[[2]string]T, from, to Site) T {
	var none T
	for _, pair := range [][2]string{{from.Name, to.Name}, {from.DataCentre, to.DataCentre}, {from.Region, to.Region}} {
		if v := m[pair]; v != none {
			return v
		}
	}
	return none
}

// InterRegionBytes returns the bytes that passed between regions.
func (l *Link) InterRegionBytes() int64 { return l.far.Load() }

// IntraRegionBytes returns all other bytes.
func (l *Link) IntraRegionBytes() int64 { return l.near.Load() }

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	head, err := r.ReadString('\n')
	if err != nil {
		return
	}
	src, addr, ok := strings.Cut(strings.TrimSpace(head), " ")
	if !ok {
		return
	}
	l.mu.Lock()
	from, to := l.sites[src], l.sites[l.addrs[addr]]
	l.mu.Unlock()
	for l.cut(from, to) || l.cut(to, from) {
		time.Sleep(cutPoll) // a connection needs both directions
	}
	time.Sleep(2 * l.delay(from, to))
	out, err := net.DialTimeout("tcp", addr, dialLimit)
	if err != nil {
		_, _ = io.WriteString(c, "no\n")
		return
	}
	defer out.Close()
	l.track(from, to, c, out)
	defer l.untrack(c, out)
	if _, err := io.WriteString(c, "ok\n"); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { l.pump(out, r, from, to); done <- struct{}{} }()
	go func() { l.pump(c, out, to, from); done <- struct{}{} }()
	<-done
}

// track notes the two halves of a relayed connection.
func (l *Link) track(from, to Site, c, out net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c], l.conns[out] = [2]Site{from, to}, [2]Site{from, to}
}

func (l *Link) untrack(c, out net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.conns, out)
}

func (l *Link) delay(a, b Site) time.Duration {
	l.mu.Lock()
	more := between(l.slow, a, b)
	l.mu.Unlock()
	switch {
	case a.DataCentre == b.DataCentre:
		return more
	case a.Region == b.Region:
		return l.cfg.DataCentreDelay + more
	}
	return l.cfg.RegionDelay + more
}

func (l *Link) cut(from, to Site) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return between(l.cuts, from, to)
}

func (l *Link) limiter(from, to Site) *rate.Limiter {
	if from.Region == to.Region || l.cfg.RegionBandwidth <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from.Region + ">" + to.Region
	if l.pipes[key] == nil {
		l.pipes[key] = rate.NewLimiter(rate.Limit(l.cfg.RegionBandwidth), 64<<10)
	}
	return l.pipes[key]
}

type parcel struct {
	data []byte
	due  time.Time
}

// pump copies bytes of one direction with its delay, rate and cuts.
func (l *Link) pump(dst net.Conn, src io.Reader, from, to Site) {
	ch := make(chan parcel, queue)
	pipe := l.limiter(from, to)
	go func() {
		defer close(ch)
		buf := make([]byte, chunk)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				ch <- parcel{append([]byte(nil), buf[:n]...), time.Now().Add(l.delay(from, to))}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		for range ch { // let the reader end
		}
	}()
	defer dst.Close()
	for p := range ch {
		time.Sleep(time.Until(p.due))
		for l.cut(from, to) {
			time.Sleep(cutPoll)
		}
		if pipe != nil {
			_ = pipe.WaitN(context.Background(), len(p.data))
			l.far.Add(int64(len(p.data)))
		} else {
			l.near.Add(int64(len(p.data)))
		}
		if _, err := dst.Write(p.data); err != nil {
			return
		}
	}
}

// Dialer returns a function that connects the named node to others through the link at addr.
func Dialer(addr, name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d := net.Dialer{Timeout: dialLimit}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		deadline := time.Now().Add(dialLimit)
		if t, ok := ctx.Deadline(); ok && t.Before(deadline) {
			deadline = t
		}
		_ = c.SetDeadline(deadline)
		fmt.Fprintf(c, "%s %s\n", name, address)
		var ok [3]byte
		if _, err := io.ReadFull(c, ok[:]); err != nil || string(ok[:]) != "ok\n" {
			_ = c.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("no connection to %s", address)}
		}
		_ = c.SetDeadline(time.Time{})
		return c, nil
	}
}
