package rrevacuation

import "rattanring/core/rrinvariant"

var neverOlder = rrinvariant.New("what is known of an evacuated zone is not replaced by something older")
