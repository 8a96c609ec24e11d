package node

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// linkLimit limits the bytes a second exchanged with other regions. The zero value sets no limit.
type linkLimit struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil for no limit
}

// linkHasCapacity reports whether the rate limit allows another request to another region now.
func (n *Node) linkHasCapacity() bool {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	return n.link.limiter == nil || n.link.limiter.Tokens() > 0
}

// chargeLink takes the bytes of a request to another region and of its response from the token bucket of linkLimiter.
func (n *Node) chargeLink(bytes int64) {
	n.metrics.linkBytes.Add(float64(max(0, bytes)))
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	if limiter := n.link.limiter; limiter != nil {
		limiter.ReserveN(time.Now(), min(limiter.Burst(), int(max(0, bytes))))
	}
}

func (n *Node) setLinkLimit(bytesPerSecond int64) {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.link.limiter = nil
	if bytesPerSecond > 0 {
		n.link.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond))
	}
}
