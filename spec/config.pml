/*
 * Configuration head: two writers with change ids move it by compare-and-swap;
 * an entry and an agent learn it from the service and from each other, by
 * reads and heartbeats that wait in buffers for any time; either may restart
 * or be frozen (it is not scheduled while the clock goes on).
 *
 * Held: a change told as accepted is in the history once and for all, one
 * told as refused never is, none is there twice; a process never reverts;
 * nothing is decided or run under a revision that was superseded more than
 * LIMIT ticks ago; an agent runs nothing decided under a revision older than its own.
 */
#define LIMIT 2

/*
 * Two parts are checked apart, since they share only head: the writers
 * (-DWRITERS), and the spread, where head moves at any time.
 */
#define NONE 255
#define ENTRY 0
#define AGENT 1

#ifndef RESTARTS
#define RESTARTS 1
#endif

byte head;
byte author[3];              /* of each revision, as writer + 1 */
byte since[3];               /* ticks since the revision became head; more than LIMIT: LIMIT + 1 */
byte lateBase[2] = NONE;
bool accepted[2];
bool refused[2];

byte revision[2];
byte age[2] = LIMIT;         /* ticks since head was known to be no higher; LIMIT: expired */

bool beatSent[2];            /* one heartbeat from each, under way */
byte beatRevision[2];
byte beatAge[2];

bool readSent[2];
byte readRevision[2];
byte readAge[2];

bool called;
byte calledRevision;

#define CONTAINS(w) (author[1] == (w) + 1 || author[2] == (w) + 1)

inline move(w) {
	assert(!refused[w]);
	assert(!CONTAINS(w));
	head++;
	author[head] = w + 1;
	since[head] = 0
}

proctype Writer(byte w) {
	byte base, tries;

	base = head;
Try:
	atomic {
		tries++;
		if
		:: head == base -> move(w); accepted[w] = true; goto Done
		:: head == base -> move(w)
		:: head != base
		:: lateBase[w] == NONE -> lateBase[w] = base
		fi
	};
#ifdef MUTANT_BLIND_RETRY
	atomic {
		if
		:: tries < 2 -> base = head; goto Try
		:: else
		fi
	};
#endif
	/* no answer, or a lost race: read the head and walk back to base */
	atomic {
		if
#ifndef MUTANT_NO_WALK
		:: CONTAINS(w) -> accepted[w] = true
		:: !CONTAINS(w) && head != base -> refused[w] = true
#else
		:: head != base -> refused[w] = true
#endif
#ifdef MUTANT_UNMOVED_IS_REFUSED
		:: head == base -> refused[w] = true
#else
		:: head == base && tries < 2 -> goto Try /* the same change id again */
		:: head == base                          /* told as unknown */
#endif
		fi;
		assert(!refused[w] || !CONTAINS(w))
	};
Done:
	skip
}

/* a late write takes effect, or is lost to a head that has moved */
active proctype Late() {
end:
	do
	:: atomic { lateBase[0] != NONE ->
		if
		:: lateBase[0] == head -> move(0)
		:: else
		fi;
		lateBase[0] = NONE }
	:: atomic { lateBase[1] != NONE ->
		if
		:: lateBase[1] == head -> move(1)
		:: else
		fi;
		lateBase[1] = NONE }
	od
}

inline older(x, most) {
	if
	:: x < most -> x++
	:: else
	fi
}

active proctype Clock() {
end:
	do
#ifndef WRITERS
	:: d_step {
		older(age[0], LIMIT);
		older(age[1], LIMIT);
#ifndef MUTANT_AGE_FROM_ARRIVAL
		if
		:: beatSent[0] -> older(beatAge[0], LIMIT)
		:: else
		fi;
		if
		:: beatSent[1] -> older(beatAge[1], LIMIT)
		:: else
		fi;
		if
		:: readSent[0] -> older(readAge[0], LIMIT)
		:: else
		fi;
		if
		:: readSent[1] -> older(readAge[1], LIMIT)
		:: else
		fi;
#endif
		if
		:: head >= 1 -> older(since[1], LIMIT + 1)
		:: else
		fi;
		if
		:: head >= 2 -> older(since[2], LIMIT + 1)
		:: else
		fi
	   }
#else
	:: false
#endif
	od
}

/* learn takes a revision, and how long ago head was no higher than it */
inline learn(p, r, a) {
#ifdef MUTANT_ANY_REVISION
	if
	:: r < revision[p] -> assert(false) /* reverted */
	:: else
	fi;
	revision[p] = r;
#else
	if
	:: r > revision[p] -> revision[p] = r
	:: else
	fi;
#endif
	if
	:: a < age[p] -> age[p] = a
	:: else
	fi
}

/* decided under r: no later revision may have been in force for more than LIMIT ticks */
#define CURRENT(r) (((r) >= 1 || since[1] <= LIMIT) && ((r) >= 2 || since[2] <= LIMIT))

#ifdef MUTANT_ENTRY_NO_EXPIRY
#define ENTRY_FRESH true
#else
#define ENTRY_FRESH (age[ENTRY] < LIMIT)
#endif

#ifdef MUTANT_AGENT_NO_EXPIRY
#define AGENT_FRESH true
#else
#define AGENT_FRESH (age[AGENT] < LIMIT)
#endif

#ifdef MUTANT_NO_CALL_REVISION
#define ACCEPTS (true)
#else
#define ACCEPTS (calledRevision >= revision[AGENT])
#endif

inline call() {
	called = true;
	calledRevision = revision[ENTRY];
	assert(CURRENT(calledRevision))
}

inline accept() {
	if
	:: ACCEPTS ->
		assert(calledRevision >= revision[AGENT]);
		learn(AGENT, calledRevision, LIMIT); /* fetched from the caller */
		if
		:: AGENT_FRESH -> assert(CURRENT(calledRevision))
		:: else /* not run: confirm first */
		fi
	:: else /* not run: newer revision */
	fi;
	called = false;
	calledRevision = 0
}

byte restarts;

proctype Process(byte p; byte q) {
end:
	do
	:: atomic { !beatSent[p] -> beatSent[p] = true; beatRevision[p] = revision[p]; beatAge[p] = age[p] }
	:: atomic { beatSent[q] -> learn(p, beatRevision[q], beatAge[q]);
		beatSent[q] = false; beatRevision[q] = 0; beatAge[q] = 0 }
	:: atomic { !readSent[p] -> readSent[p] = true; readRevision[p] = head; readAge[p] = 0 }
	:: atomic { readSent[p] -> learn(p, readRevision[p], readAge[p]);
		readSent[p] = false; readRevision[p] = 0; readAge[p] = 0 }
	:: atomic { restarts < RESTARTS -> restarts++; revision[p] = 0; age[p] = LIMIT;
		readSent[p] = false; readRevision[p] = 0; readAge[p] = 0 }
	:: atomic { p == ENTRY && !called && ENTRY_FRESH -> call() }
	:: atomic { p == AGENT && called -> accept() }
	od
}

/* stands for any writers */
proctype Mover() {
	atomic { move(0) };
	atomic { move(1) }
}

init {
	atomic {
#ifdef WRITERS
		run Writer(0);
		run Writer(1)
#else
		run Mover();
		run Process(ENTRY, AGENT);
		run Process(AGENT, ENTRY)
#endif
	}
}
