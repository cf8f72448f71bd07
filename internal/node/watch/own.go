package watch

// ownRecord is a record that this node keeps in the store.
type ownRecord struct {
	value []byte
	// revision increases with each value. stored is the latest revision that the store has
	// acknowledged, 0 if none, and epoch the epoch of the store in which it did.
	revision int
	stored   int
	epoch    int64
}

// ownRecords are the records that this node keeps in the store, by key.
type ownRecords map[string]*ownRecord

// set sets the value of a record.
func (o ownRecords) set(r Record) {
	own, ok := o[r.Key]
	if !ok {
		own = &ownRecord{}
		o[r.Key] = own
	}
	own.value = r.Value
	own.revision++
}

// adopt takes over a record that an earlier process of this node has stored, and that was
// found in the given epoch.
func (o ownRecords) adopt(r Record, epoch int64) {
	if _, ok := o[r.Key]; ok {
		return
	}
	o.set(r)
	o.acknowledge(r.Key, o[r.Key].revision, epoch)
}

// missing returns a record that the store may lack in the given epoch with its revision, and
// false if there is none.
func (o ownRecords) missing(epoch int64) (Record, int, bool) {
	for key, own := range o {
		if own.stored != own.revision || own.epoch != epoch {
			return Record{
				Key:   key,
				Value: own.value,
			}, own.revision, true
		}
	}
	return Record{}, 0, false
}

// acknowledge records that the store has taken a revision of a record.
func (o ownRecords) acknowledge(key string, revision int, epoch int64) {
	o[key].stored = revision
	o[key].epoch = epoch
}

// doubt makes all records count as missing.
func (o ownRecords) doubt() {
	for _, own := range o {
		own.stored = 0
	}
}
