/*
 * Lease with a rising fencing number for orders to one engine: two or
 * three processes, one record moved by compare-and-swap, lost answers and late
 * writes, a clock that goes on while any of them is paused.
 *
 * Mirrors Candidate of share/decide/lease. Without -DIGNORES the engine refuses
 * an order with a lower number than one it has seen, and orders may wait
 * for any time after the holder's last look at the clock. With -DIGNORES it
 * takes every order; the look and the sending are one step, and an order's
 * effects end within ORDER ticks.
 *
 * Held: with an engine that checks, the numbers of executed orders never
 * fall and no two processes share one; with one that ignores, no order is sent while an order of another holder may be at work.
 */
#define LENGTH 4
#define MARGIN 1
#ifndef ORDER
#define ORDER 3              /* longer than the wait for the old lease leaves over */
#endif
#define NONE 255

#ifndef PROCESSES
#define PROCESSES 3
#endif

#ifndef WRITES
#define WRITES 2
#endif

byte holder = NONE;          /* the record; NONE: free */
byte number = 1;
byte count;                  /* the holder's own count */
byte index;

byte lateIndex[3] = NONE;
byte lateNumber[3];
byte lateWrite[3];

byte hold[3];                /* ticks left until the process stops sending */
byte sent[3] = NONE;         /* ticks since its last write was sent */
byte waits[3];               /* ticks left before its first order */
byte seen[3] = NONE;         /* index last read */
byte unchanged[3];           /* ticks since that index was first read */
byte mine[3];                /* its number */

byte working[3];             /* ticks left for its last order, engine that ignores */
byte executed;               /* highest number executed, engine that checks */
byte executedFor = NONE;     /* the process whose order that was */

#define LEAST(x, y) ((x) < (y) -> (x) : (y))

inline put(p, n, w) {
	holder = p;
	number = n;
	count = w;
	index++
}

inline down(x) {
	if
	:: x > 0 -> x--
	:: else
	fi
}

inline up(x, most) {
	if
	:: x < most -> x++
	:: else
	fi
}

#define TICK(p) \
	down(hold[p]); \
	down(waits[p]); \
	down(working[p]); \
	up(sent[p], LENGTH); \
	up(unchanged[p], LENGTH + MARGIN)

active proctype Clock() {
end:
	do
	:: d_step {
		TICK(0);
		TICK(1);
		TICK(2)
	   }
	od
}

inline arriveLate(p) {
	if
	:: lateIndex[p] == index -> put(p, lateNumber[p], lateWrite[p])
	:: else
	fi;
	lateIndex[p] = NONE;
	lateNumber[p] = 0;
	lateWrite[p] = 0
}

active proctype Late() {
end:
	do
	:: atomic { lateIndex[0] != NONE -> arriveLate(0) }
	:: atomic { lateIndex[1] != NONE -> arriveLate(1) }
	:: atomic { lateIndex[2] != NONE -> arriveLate(2) }
	od
}

inline look(p) {
	if
	:: seen[p] != index -> seen[p] = index; unchanged[p] = 0
	:: else
	fi
}

/* adopt takes the own write for granted: the hold counts from its sending */
inline adopt(p, dirty) {
	look(p);
	mine[p] = number;
	hold[p] = LENGTH - LEAST(sent[p], LENGTH);
#if defined(IGNORES) && !defined(MUTANT_NO_ORDER_WAIT)
	if
	:: dirty -> waits[p] = ORDER
	:: else
	fi
#endif
}

#ifdef MUTANT_NO_OBSERVED_WAIT
#define OVER(p) true
#else
#define OVER(p) (unchanged[p] == LENGTH + MARGIN)
#endif

#ifdef MUTANT_NO_CLOCK
#define HOLDS(p) (mine[p] > 0 && waits[p] == 0)
#else
#define HOLDS(p) (hold[p] > 0 && waits[p] == 0)
#endif

#define OWN(p, w) (holder == p && count == w)

#ifdef MUTANT_EARLY_RELEASE
#define RELEASABLE(p) (working[p] == 0)
#else
#define RELEASABLE(p) (working[p] == 0 && waits[p] == 0)
#endif

#ifdef MUTANT_SAME_NUMBER
#define NEXT number
#else
#define NEXT (number + 1)
#endif

inline send(p) {
#ifdef REACH_SECOND_HOLDER
	assert(mine[p] < 3);
#endif
#ifdef IGNORES
	assert(p == 0 || working[0] == 0);
	assert(p == 1 || working[1] == 0);
	assert(p == 2 || working[2] == 0);
	working[p] = ORDER
#else
	skip
#endif
}

inline execute(p, n) {
#ifndef MUTANT_ENGINE_IGNORES
	if
	:: n >= executed ->
		assert(n > executed || p == executedFor);
		executed = n;
		executedFor = p
	:: else /* refused */
	fi
#else
	assert(n >= executed);
	executed = n
#endif
}

proctype Process(byte p) {
	byte writes, order;
	bool dirty, released;

end:
	do
	/* read; take over a free record, or one whose holder can no longer send */
	:: atomic { hold[p] == 0 && !released ->
		look(p);
		mine[p] = 0;
		if
		:: writes < WRITES && (holder == NONE || OVER(p)) ->
			dirty = (holder != NONE);
			writes++;
			sent[p] = 0;
			if
			:: put(p, NEXT, writes); adopt(p, dirty)
			:: put(p, NEXT, writes); goto Unsure
			:: lateIndex[p] == NONE -> lateIndex[p] = index; lateNumber[p] = NEXT; lateWrite[p] = writes; goto Unsure
			fi
		:: else
		fi
	   }
	/* renew: the write may be lost to another's */
	:: atomic { hold[p] > 0 && writes < WRITES ->
		writes++;
		sent[p] = 0;
		if
		:: holder == p && seen[p] == index -> put(p, number, writes); adopt(p, false)
		:: else -> hold[p] = 0
		fi
	   }
	:: atomic { HOLDS(p) && order == 0 -> send(p);
#ifndef IGNORES
		order = mine[p]
#endif
	   }
	/* the order arrives at the engine, which may be much later */
	:: atomic { order > 0 -> execute(p, order); order = 0 }
	:: atomic { hold[p] > 0 && RELEASABLE(p) && order == 0 && holder == p && seen[p] == index ->
		put(NONE, number, 0);
		hold[p] = 0;
		mine[p] = 0;
		released = true
	   }
	od;
Unsure:
	/* the answer was lost: read back, at any later time */
	atomic {
		if
		:: OWN(p, writes) -> adopt(p, dirty)
		:: else -> look(p)
		fi;
		goto end
	}
}

init {
	atomic {
		run Process(0);
		run Process(1)
#if PROCESSES > 2
		;
		run Process(2)
#endif
	}
}
