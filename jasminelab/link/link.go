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

// Site is a node or another endpoint on the simulated network, with its location.
type Site struct {
	Name, DataCentre, Region string
}

// Config holds the one-way delays and the bandwidth between regions.
type Config struct {
	DataCentreDelay time.Duration // one-way, between data centres of the same region
	RegionDelay     time.Duration // one-way, between regions
	RegionBandwidth int           // bytes per second for each pair of regions and direction; 0 for unlimited
}

const (
	maxChunkBytes       = 16 << 10             // maximum bytes read and relayed at once
	maxQueuedChunks     = 256                  // maximum chunks in flight in one direction of a connection
	blockedPollInterval = 5 * time.Millisecond // interval at which a blocked relay checks whether it is unblocked
	dialTimeout         = time.Second          // maximum time to open a connection
)

// Link is a TCP proxy that relays the connections between nodes.
type Link struct {
	cfg              Config
	ln               net.Listener
	mu               sync.Mutex
	sites            map[string]Site             // by site name
	siteByAddress    map[string]string           // name of the site at each address
	blocked          map[[2]string]bool          // by source and destination: sites, data centres or regions
	extraDelay       map[[2]string]time.Duration // added to the configured delay; keys as in blocked
	conns            map[net.Conn]*relayedConn   // by each of its two parts
	limiters         map[string]*rate.Limiter    // bandwidth limiters, by FROM>TO of two regions
	interRegionBytes atomic.Int64
	intraRegionBytes atomic.Int64
}

// relayedConn is a connection between two sites.
type relayedConn struct {
	from, to Site
	silent   bool
}

// between reports whether the connection is between two nodes, data centres or regions, in either direction.
func (r *relayedConn) between(a, b string) bool {
	return r.from.matches(a) && r.to.matches(b) || r.from.matches(b) && r.to.matches(a)
}

// Listen starts a link on a loopback port.
func Listen(cfg Config) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		cfg: cfg, ln: ln,
		sites: make(map[string]Site), siteByAddress: make(map[string]string),
		blocked: make(map[[2]string]bool), extraDelay: make(map[[2]string]time.Duration), conns: make(map[net.Conn]*relayedConn),
		limiters: make(map[string]*rate.Limiter),
	}
	go l.accept()
	return l, nil
}

// Addr returns the address to which nodes connect.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Close stops accepting connections. Connections that are already relayed stay open.
func (l *Link) Close() { _ = l.ln.Close() }

// SetSite sets the site of a node and the address at which others dial it, if it is not empty.
func (l *Link) SetSite(s Site, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sites[s.Name] = s
	if address != "" {
		l.siteByAddress[address] = s.Name
	}
}

// SetBlocked blocks or unblocks the traffic from one node, data centre or region to another; the reverse direction is unaffected.
// Blocked bytes are held back and delivered once the direction is unblocked.
func (l *Link) SetBlocked(from, to string, block bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[[2]string{from, to}] = block
}

// SetExtraDelay adds a delay to the traffic from one node, data centre or region to another; 0 removes it.
func (l *Link) SetExtraDelay(from, to string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraDelay[[2]string{from, to}] = delay
}

// ResetConnections resets the connections between two nodes, data centres or regions, in either direction.
func (l *Link) ResetConnections(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, r := range l.conns {
		if r.between(a, b) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// Silence makes the connections between two nodes, data centres or regions that are open now silent for good: they stay open and accept data,
// but nothing arrives any more. New connections work.
func (l *Link) Silence(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.conns {
		r.silent = r.silent || r.between(a, b)
	}
}

// isSilent reports whether nothing arrives on the connection any more.
func (l *Link) isSilent(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.conns[c]
	return r != nil && r.silent
}

// matches reports whether the site is that of the named node, or in the named data centre or region.
func (s Site) matches(name string) bool {
	return s.Name == name || s.DataCentre == name || s.Region == name
}

// lookup returns the first nonzero value in m for the two sites' names, data centres or regions, in this order.
func lookup[T bool | time.Duration](m map[[2]string]T, from, to Site) T {
	var zero T
	for _, pair := range [][2]string{{from.Name, to.Name}, {from.DataCentre, to.DataCentre}, {from.Region, to.Region}} {
		if v := m[pair]; v != zero {
			return v
		}
	}
	return zero
}

// InterRegionBytes returns the number of bytes relayed between regions.
// They are counted only if the bandwidth between regions is limited; otherwise IntraRegionBytes counts them.
func (l *Link) InterRegionBytes() int64 { return l.interRegionBytes.Load() }

// IntraRegionBytes returns the number of all other bytes relayed.
func (l *Link) IntraRegionBytes() int64 { return l.intraRegionBytes.Load() }

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
	header, err := r.ReadString('\n')
	if err != nil {
		return
	}
	node, addr, ok := strings.Cut(strings.TrimSpace(header), " ")
	if !ok {
		return
	}
	l.mu.Lock()
	from, to := l.sites[node], l.sites[l.siteByAddress[addr]]
	l.mu.Unlock()
	for l.isBlocked(from, to) || l.isBlocked(to, from) {
		time.Sleep(blockedPollInterval) // the TCP handshake needs both directions
	}
	time.Sleep(2 * l.delay(from, to))
	targetConn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		_, _ = io.WriteString(c, "no\n")
		return
	}
	defer targetConn.Close()
	l.track(from, to, c, targetConn)
	defer l.untrack(c, targetConn)
	if _, err := io.WriteString(c, "ok\n"); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { l.relay(targetConn, r, from, to); done <- struct{}{} }()
	go func() { l.relay(c, targetConn, to, from); done <- struct{}{} }()
	<-done
}

// track records both connections of a relay for ResetConnections and Silence.
func (l *Link) track(from, to Site, c, targetConn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &relayedConn{from: from, to: to}
	l.conns[c], l.conns[targetConn] = r, r
}

func (l *Link) untrack(c, targetConn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.conns, targetConn)
}

func (l *Link) delay(from, to Site) time.Duration {
	l.mu.Lock()
	extra := lookup(l.extraDelay, from, to)
	l.mu.Unlock()
	switch {
	case from.DataCentre == to.DataCentre:
		return extra
	case from.Region == to.Region:
		return l.cfg.DataCentreDelay + extra
	}
	return l.cfg.RegionDelay + extra
}

func (l *Link) isBlocked(from, to Site) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lookup(l.blocked, from, to)
}

func (l *Link) limiter(from, to Site) *rate.Limiter {
	if from.Region == to.Region || l.cfg.RegionBandwidth <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	direction := from.Region + ">" + to.Region
	if l.limiters[direction] == nil {
		l.limiters[direction] = rate.NewLimiter(rate.Limit(l.cfg.RegionBandwidth), 64<<10)
	}
	return l.limiters[direction]
}

type delayedChunk struct {
	data   []byte
	sendAt time.Time
}

// relay copies the traffic of one direction, subject to its delay, bandwidth limit and blocking.
func (l *Link) relay(destination net.Conn, source io.Reader, from, to Site) {
	chunks := make(chan delayedChunk, maxQueuedChunks)
	bandwidth := l.limiter(from, to)
	go func() {
		defer close(chunks)
		buf := make([]byte, maxChunkBytes)
		for {
			n, err := source.Read(buf)
			if n > 0 {
				chunks <- delayedChunk{append([]byte(nil), buf[:n]...), time.Now().Add(l.delay(from, to))}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		for range chunks { // drain the channel so that the reader can return
		}
	}()
	defer destination.Close()
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.sendAt))
		for l.isBlocked(from, to) {
			time.Sleep(blockedPollInterval)
		}
		if l.isSilent(destination) {
			continue
		}
		if bandwidth != nil {
			_ = bandwidth.WaitN(context.Background(), len(chunk.data))
			l.interRegionBytes.Add(int64(len(chunk.data)))
		} else {
			l.intraRegionBytes.Add(int64(len(chunk.data)))
		}
		if _, err := destination.Write(chunk.data); err != nil {
			return
		}
	}
}

// Dialer returns a dial function that connects the named node to addresses through the link at addr.
func Dialer(addr, name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		deadline := time.Now().Add(dialTimeout)
		if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
			deadline = ctxDeadline
		}
		_ = c.SetDeadline(deadline)
		fmt.Fprintf(c, "%s %s\n", name, address)
		var reply [3]byte
		if _, err := io.ReadFull(c, reply[:]); err != nil || string(reply[:]) != "ok\n" {
			_ = c.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("no connection to %s", address)}
		}
		_ = c.SetDeadline(time.Time{})
		return c, nil
	}
}
