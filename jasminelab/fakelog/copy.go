package fakelog

import (
	"maps"
	"slices"
)

// Copy is a copy of all partitions of a log; it does not change. The zero value is a copy of an empty log.
type Copy struct{ partitions map[string]*partition }

// Copy returns a copy of the current state of the log.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Copy{partitions: clonePartitions(l.partitions)}
}

// Restore replaces all partitions by those of an earlier copy, and raises the era: later records get the offsets of the records that are lost.
// Reads that wait for records continue in the restored partitions.
func (l *Log) Restore(c Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former := l.partitions
	l.partitions = clonePartitions(c.partitions)
	l.era++
	for _, p := range former {
		close(p.appended)
	}
}

// Era returns the number of restorations from a copy.
func (l *Log) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Newest returns the newest value of each key in partition 0 of the topic.
func (l *Log) Newest(topic string) map[string][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	values := make(map[string][]byte)
	for key, r := range l.partition(topic, "0").newest {
		values[key] = r.data
	}
	return values
}

func clonePartitions(partitions map[string]*partition) map[string]*partition {
	clones := make(map[string]*partition, len(partitions))
	for id, p := range partitions {
		clone := *p
		clone.records, clone.newest, clone.appended = slices.Clone(p.records), maps.Clone(p.newest), make(chan struct{})
		clone.producers = make(map[string]*producer, len(p.producers))
		for name, pr := range p.producers {
			producerClone := *pr
			producerClone.recentAppends = slices.Clone(pr.recentAppends)
			clone.producers[name] = &producerClone
		}
		clones[id] = &clone
	}
	return clones
}
