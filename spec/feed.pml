/*
 * How an ingress on the users' platform receives the store's changes: it follows an ingress that
 * watches the store for its failure domain, compares its revisions with those that an ingress of
 * another domain reports, and reads the store directly if neither is usable.
 *
 * Time advances in rounds of one heartbeat. In each round the two watchers read the store, push
 * changes, and report in their heartbeat the revision that they know and whether the store
 * answers them; the follower processes this and chooses its source. Between rounds the store may
 * change, and FAULTS times in total a watcher loses its connection to the store, freezes, is
 * killed, recovers, or restarts with an empty view. RESTORES times the store is restored from a
 * copy of itself: a new era begins, numbers of changes are given out again, and the operator
 * writes again what was lost, at some time.
 *
 * A record stands for all: the version of a configuration, which only rises. What is in force at an
 * ingress is the highest version that it has heard of, in any era.
 *
 * Properties: the follower never goes back to an earlier revision or version, never has a version
 * that the operator has not written, and has at least the store's version MAX_ROUNDS rounds after
 * the last event.
 */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#define MAX_ROUNDS 4 /* rounds until the store's last change must be known */
#define MAX_MISSED 2 /* rounds without a heartbeat after which a watcher is unusable */
#define SELF 2

#define ERA 16 /* more than the number of changes: a revision is its era times ERA, plus its number */
#define NUMBER(revision) (revision % ERA)

byte storeRevision = 1;
byte storeVersion = 1;
byte writtenVersion = 1;  /* newest version that the operator has written */
byte copiedNumber = 1;    /* number and version in the copy */
byte copiedVersion = 1;
byte restores = 0;
byte knownRevision[3];    /* revision known to the watchers, 0 and 1, and to the follower, 2 */
byte inForce[3];          /* version in force there */
bool disconnected[2];     /* has no connection to the store */
bool frozen[2];           /* neither pushes nor sends heartbeats */
bool stopped[2];
byte missedHeartbeats[2]; /* rounds without a heartbeat, at most MAX_MISSED */
bool storeAnswers[2];     /* last heartbeat: the store answers */
byte reportedRevision[2]; /* last heartbeat: the known revision */
byte roundsAhead[2];      /* rounds for which it was ahead of the follower */
byte source = 0;
byte faults = 0;
byte quietRounds = 0;     /* rounds since the last event */
byte previous;
byte previousVersion;

inline raise(i, version) {
	inForce[i] = (version > inForce[i] -> version : inForce[i])
}

inline read(i) {
	if
#ifdef MUTANT_READ_BY_NUMBER
	:: !stopped[i] && !frozen[i] && !disconnected[i] && NUMBER(storeRevision) > NUMBER(knownRevision[i]) ->
#else
	:: !stopped[i] && !frozen[i] && !disconnected[i] ->
#endif
		if
		:: knownRevision[i] == 0 && !stopped[1 - i] && !frozen[1 - i] -> raise(i, inForce[1 - i]) /* it has just started */
		:: else
		fi;
		knownRevision[i] = storeRevision;
		raise(i, storeVersion)
	:: else
	fi
}

#ifdef MUTANT_PEERS_BY_NUMBER
#define AHEAD(a, b) (NUMBER(a) > NUMBER(b))
#else
#define AHEAD(a, b) (a > b)
#endif

/* the follower takes over what ingress i has reached */
inline take(i) {
	knownRevision[SELF] = knownRevision[i];
#ifdef MUTANT_NO_HOLDS
	inForce[SELF] = inForce[i]
#else
	raise(SELF, inForce[i])
#endif
}

inline push(i) {
	if
	:: source == i && !stopped[i] && !frozen[i] ->
#ifdef MUTANT_ANY_REVISION
		take(i)
#else
		if
		:: AHEAD(knownRevision[i], knownRevision[SELF]) -> take(i)
		:: else
		fi
#endif
	:: else
	fi
}

inline receiveHeartbeat(i) {
	if
	:: !stopped[i] && !frozen[i] ->
		missedHeartbeats[i] = 0;
		storeAnswers[i] = !disconnected[i];
		reportedRevision[i] = knownRevision[i]
	:: else ->
		missedHeartbeats[i] = (missedHeartbeats[i] < MAX_MISSED -> missedHeartbeats[i] + 1 : MAX_MISSED)
	fi
}

/* the follower fetches the missing records if a watcher is still ahead after one round */
inline compare(i) {
	if
	:: missedHeartbeats[i] == 0 && AHEAD(reportedRevision[i], knownRevision[SELF]) ->
		if
		:: roundsAhead[i] > 0 -> take(i); roundsAhead[i] = 0
		:: else -> roundsAhead[i]++
		fi
	:: else -> roundsAhead[i] = 0
	fi
}

#ifdef MUTANT_NO_AGE
#define USABLE(i) (missedHeartbeats[i] < MAX_MISSED)
#else
#define USABLE(i) (missedHeartbeats[i] < MAX_MISSED && storeAnswers[i])
#endif

inline choose() {
	if
	:: USABLE(0) -> source = 0
	:: !USABLE(0) && USABLE(1) -> source = 1
	:: else ->
#ifdef MUTANT_NEVER_READS
		skip
#else
		source = SELF
#endif
	fi
}

inline fault(i) {
	if
	:: !stopped[i] -> disconnected[i] = !disconnected[i]
	:: !stopped[i] -> frozen[i] = !frozen[i]
	:: !stopped[i] -> stopped[i] = true
	:: stopped[i] -> stopped[i] = false; frozen[i] = false; knownRevision[i] = 0; inForce[i] = 0
	fi;
	faults++;
	quietRounds = 0
}

active proctype world() {
	do
	:: writtenVersion <= CHANGES -> atomic {
		writtenVersion++; storeVersion = writtenVersion; storeRevision++; quietRounds = 0
	}
	:: restores < RESTORES && copiedNumber != NUMBER(storeRevision) -> atomic {
		copiedNumber = NUMBER(storeRevision); copiedVersion = storeVersion
	}
	:: restores < RESTORES -> atomic {
		storeRevision = storeRevision - NUMBER(storeRevision) + ERA + copiedNumber;
		storeVersion = copiedVersion; restores++; quietRounds = 0
	}
	:: storeVersion < writtenVersion -> atomic { /* it is written again */
		storeVersion = writtenVersion; storeRevision++; quietRounds = 0
	}
	:: faults < FAULTS -> atomic { fault(0) }
	:: faults < FAULTS -> atomic { fault(1) }
	:: quietRounds <= MAX_ROUNDS -> atomic {
		previous = knownRevision[SELF];
		previousVersion = inForce[SELF];
		read(0); read(1);
		push(0); push(1);
		receiveHeartbeat(0); receiveHeartbeat(1);
		compare(0); compare(1);
		choose();
		if
		:: source == SELF -> knownRevision[SELF] = storeRevision; raise(SELF, storeVersion)
		:: else
		fi;
		quietRounds++;
		assert(knownRevision[SELF] >= previous);
		assert(knownRevision[SELF] <= storeRevision);
		assert(inForce[SELF] >= previousVersion);
		assert(inForce[SELF] <= writtenVersion);
		assert(quietRounds < MAX_ROUNDS || knownRevision[SELF] == storeRevision);
		assert(quietRounds < MAX_ROUNDS || inForce[SELF] >= storeVersion)
	}
	:: quietRounds > MAX_ROUNDS -> break
	od
}
