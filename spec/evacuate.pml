/*
 * Evacuation of a failure domain and its end: one ingress, the placer, places requests, and
 * another one, the sender, sends them later, when the results of their stages are available.
 * Both receive the operator's decision from the store, and the sender also from the placer.
 *
 * Mirrors alive.Set, the mirror of the store's records, and flow/stream.go, which checks its
 * current view again before it sends. Time advances in rounds. In each round the operator may
 * evacuate the domain or end the evacuation, an ingress may freeze, lose its connection to the
 * store or recover (FAULTS times in total), and updates that are in transit may arrive.
 *
 * Properties: MAX_ROUNDS rounds after the domain was evacuated, a sender that was connected for
 * as long sends nothing to it, whichever ingress placed the request. MAX_ROUNDS rounds after the
 * end of the evacuation such a sender no longer regards the domain as evacuated.
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#define MAX_ROUNDS 3
#define PLACER 0
#define SENDER 1

#define IS_EVACUATED(version) (version % 2 == 1)

mtype = { unplaced, inDomain, otherDomain };

byte storeRevision = 0;     /* revision of the operator's decision; odd: the domain is evacuated */
byte roundsSinceChange = 0; /* rounds since it changed, at most MAX_ROUNDS */
byte knownRevision[2];
bool disconnected[2];       /* frozen, or without a connection to the store */
byte connectedRounds = 0;   /* rounds for which the sender was connected, at most MAX_ROUNDS */
byte faults = 0;
mtype placement = unplaced;

inline change() {
	if
	:: storeRevision < CHANGES -> storeRevision++; roundsSinceChange = 0
	:: true
	fi
}

inline injectFault(i) {
	if
	:: faults < FAULTS -> faults++; disconnected[i] = !disconnected[i]
	:: true
	fi
}

/* a change in the store arrives within MAX_ROUNDS rounds */
inline observeStore(i) {
	if
	:: !disconnected[i] -> knownRevision[i] = storeRevision
	:: !disconnected[i] && roundsSinceChange + 1 < MAX_ROUNDS
	:: disconnected[i]
	fi
}

/* the sender receives the placer's revision, which may be older than its own */
inline updateFromPlacer() {
	if
#ifdef MUTANT_ANY_REVISION
	:: knownRevision[SENDER] = knownRevision[PLACER]
#else
	:: knownRevision[PLACER] > knownRevision[SENDER] -> knownRevision[SENDER] = knownRevision[PLACER]
#endif
	:: true
	fi
}

inline choose(i) {
	if
	:: !IS_EVACUATED(knownRevision[i]) -> placement = inDomain
	:: placement = otherDomain
	fi
}

inline send() {
#ifndef MUTANT_NO_LOOK_BEFORE_SENDING
	if
	:: placement == inDomain && IS_EVACUATED(knownRevision[SENDER]) -> choose(SENDER)
	:: else
	fi;
#endif
	assert(!(placement == inDomain && IS_EVACUATED(storeRevision) && roundsSinceChange >= MAX_ROUNDS && connectedRounds >= MAX_ROUNDS));
	placement = unplaced
}

inline request() {
	if
	:: placement == unplaced -> choose(PLACER)
	:: placement != unplaced -> send()
	:: true
	fi
}

inline tick() {
	assert(!(!IS_EVACUATED(storeRevision) && roundsSinceChange >= MAX_ROUNDS && connectedRounds >= MAX_ROUNDS && IS_EVACUATED(knownRevision[SENDER])));
	roundsSinceChange = (roundsSinceChange < MAX_ROUNDS -> roundsSinceChange + 1 : MAX_ROUNDS);
	connectedRounds = (disconnected[SENDER] -> 0 : (connectedRounds < MAX_ROUNDS -> connectedRounds + 1 : MAX_ROUNDS))
}

active proctype rounds() {
end:
	do
	:: atomic { change(); injectFault(PLACER); injectFault(SENDER); observeStore(PLACER); observeStore(SENDER); updateFromPlacer(); request(); tick() }
	od
}
