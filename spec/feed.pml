/*
 * How an ingress on the users' platform hears of the store's changes: it follows
 * one that watches the store for its failure domain, compares the digests of one
 * of another domain, and reads for itself where neither does well.
 *
 * Time goes in rounds of a heartbeat. In each one the two that watch read the
 * store, push, and say in their heartbeat what they know and whether the store
 * answers them; the follower takes that and chooses. Between rounds the store may
 * change, and FAULTS times one that watches is cut off from the store, freezes,
 * is killed, comes back or starts anew without knowing anything.
 *
 * Holds: the follower never goes back, never knows what the store has not
 * said, and BOUND rounds after the last event it knows what the store holds.
 */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#define BOUND 4  /* rounds until the store's last change is known for certain */
#define SILENT 2 /* rounds without a heartbeat that end a link */
#define SELF 2

byte store = 1;
byte known[3];     /* what 0 and 1, which watch, and 2, the follower, know */
bool cut[2];       /* does not reach the store */
bool frozen[2];    /* neither pushes nor says anything */
bool dead[2];
byte silence[2];   /* rounds without a heartbeat */
bool well[2];      /* last word: the store answers */
byte told[2];      /* last word: what it knows */
byte gap[2];       /* rounds for which it was ahead */
byte follow = 0;
byte faults = 0;
byte quiet = 0;    /* rounds since the last event */
byte before;

inline read(i) {
	if
	:: !dead[i] && !frozen[i] && !cut[i] -> known[i] = store
	:: else
	fi
}

inline push(i) {
	if
	:: follow == i && !dead[i] && !frozen[i] ->
#ifdef MUTANT_ANY_REVISION
		known[SELF] = known[i]
#else
		if
		:: known[i] > known[SELF] -> known[SELF] = known[i]
		:: else
		fi
#endif
	:: else
	fi
}

inline hear(i) {
	if
	:: !dead[i] && !frozen[i] ->
		silence[i] = 0;
		well[i] = !cut[i];
		told[i] = known[i]
	:: else ->
		silence[i] = (silence[i] < SILENT -> silence[i] + 1 : SILENT)
	fi
}

/* what another one has been ahead of for a round is asked for */
inline compare(i) {
	if
	:: silence[i] == 0 && told[i] > known[SELF] ->
		if
		:: gap[i] > 0 -> known[SELF] = told[i]; gap[i] = 0
		:: else -> gap[i]++
		fi
	:: else -> gap[i] = 0
	fi
}

#ifdef MUTANT_NO_AGE
#define FIT(i) (silence[i] < SILENT)
#else
#define FIT(i) (silence[i] < SILENT && well[i])
#endif

inline choose() {
	if
	:: FIT(0) -> follow = 0
	:: !FIT(0) && FIT(1) -> follow = 1
	:: else ->
#ifdef MUTANT_NEVER_READS
		skip
#else
		follow = SELF
#endif
	fi
}

inline fault(i) {
	if
	:: !dead[i] -> cut[i] = !cut[i]
	:: !dead[i] -> frozen[i] = !frozen[i]
	:: !dead[i] -> dead[i] = true
	:: dead[i] -> dead[i] = false; frozen[i] = false; known[i] = 0
	fi;
	faults++;
	quiet = 0
}

active proctype world() {
	do
	:: store <= CHANGES -> atomic { store++; quiet = 0 }
	:: faults < FAULTS -> atomic { fault(0) }
	:: faults < FAULTS -> atomic { fault(1) }
	:: quiet <= BOUND -> atomic {
		before = known[SELF];
		read(0); read(1);
		push(0); push(1);
		hear(0); hear(1);
		compare(0); compare(1);
		choose();
		if
		:: follow == SELF -> known[SELF] = store
		:: else
		fi;
		quiet++;
		assert(known[SELF] >= before);
		assert(known[SELF] <= store);
		assert(quiet < BOUND || known[SELF] == store)
	}
	:: quiet > BOUND -> break
	od
}
