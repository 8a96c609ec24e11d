// Package upstream speaks to the upstreams beside a node: it takes their announcements, admits work to their slots and checks that their answers are whole.
package upstream
