/*
 * Lease with an increasing fencing number for orders to one engine: two or three processes, one
 * record updated by compare-and-swap, lost answers and late writes, and a clock that advances
 * while any of the processes is paused.
 *
 * Mirrors Candidate of share/decide/lease. Without -DIGNORES the engine refuses an order with a
 * lower fencing number than one it has received, and orders may be delayed for any time after
 * the holder last checked the clock. With -DIGNORES the engine accepts every order; checking the
 * clock and sending are one step, and an order's effects end within ORDER ticks.
 *
 * Properties: with an engine that checks the number, the numbers of executed orders never
 * decrease and no two processes share one. With an engine that ignores it, no order is sent while
 * an order of another holder may still have effects.
 */
#define DURATION 4
#define MARGIN 1
#ifndef ORDER
#define ORDER 3 /* longer than the time that remains after the wait for the old lease */
#endif
#define NONE 255

#ifndef PROCESSES
#define PROCESSES 3
#endif

#ifndef WRITES
#define WRITES 2
#endif

byte holder = NONE; /* of the record; NONE: free */
byte number = 1;
byte writeCount;    /* the holder's own count of writes */
byte index;

byte lateIndex[3] = NONE;
byte lateNumber[3];
byte lateWrite[3];

byte holdTicks[3];              /* ticks left until the process must stop sending */
byte ticksSinceWrite[3] = NONE; /* ticks since its last write was sent, at most DURATION; NONE: no write yet */
byte waitTicks[3];              /* ticks left before its first order */
byte seenIndex[3] = NONE;       /* the index it last read */
byte unchangedTicks[3];         /* ticks since that index was first read */
byte ownNumber[3];              /* its fencing number */

byte orderTicks[3];      /* ticks until its last order has ended; engine that ignores */
byte executed;           /* highest number executed; engine that checks */
byte executedFor = NONE; /* the process whose order that was */

#define SMALLER(x, y) ((x) < (y) -> (x) : (y))

inline put(p, n, w) {
	holder = p;
	number = n;
	writeCount = w;
	index++
}

inline decrement(x) {
	if
	:: x > 0 -> x--
	:: else
	fi
}

inline increment(x, most) {
	if
	:: x < most -> x++
	:: else
	fi
}

#define TICK(p) \
	decrement(holdTicks[p]); \
	decrement(waitTicks[p]); \
	decrement(orderTicks[p]); \
	increment(ticksSinceWrite[p], DURATION); \
	increment(unchangedTicks[p], DURATION + MARGIN)

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

inline observe(p) {
	if
	:: seenIndex[p] != index -> seenIndex[p] = index; unchangedTicks[p] = 0
	:: else
	fi
}

/* adopt handles the process's own successful write: the lease counts from when it was sent */
inline adopt(p, tookOver) {
	observe(p);
	ownNumber[p] = number;
	holdTicks[p] = DURATION - SMALLER(ticksSinceWrite[p], DURATION);
#if defined(IGNORES) && !defined(MUTANT_NO_ORDER_WAIT)
	if
	:: tookOver -> waitTicks[p] = ORDER
	:: else
	fi
#endif
}

#ifdef MUTANT_NO_OBSERVED_WAIT
#define EXPIRED(p) true
#else
#define EXPIRED(p) (unchangedTicks[p] == DURATION + MARGIN)
#endif

#ifdef MUTANT_NO_CLOCK
#define MAY_SEND(p) (ownNumber[p] > 0 && waitTicks[p] == 0)
#else
#define MAY_SEND(p) (holdTicks[p] > 0 && waitTicks[p] == 0)
#endif

#define IS_OWN_WRITE(p, w) (holder == p && writeCount == w)

#ifdef MUTANT_EARLY_RELEASE
#define RELEASABLE(p) (orderTicks[p] == 0)
#else
#define RELEASABLE(p) (orderTicks[p] == 0 && waitTicks[p] == 0)
#endif

#ifdef MUTANT_SAME_NUMBER
#define NEXT number
#else
#define NEXT (number + 1)
#endif

inline send(p) {
#ifdef REACH_SECOND_HOLDER
	assert(ownNumber[p] < 3);
#endif
#ifdef IGNORES
	assert(p == 0 || orderTicks[0] == 0);
	assert(p == 1 || orderTicks[1] == 0);
	assert(p == 2 || orderTicks[2] == 0);
	orderTicks[p] = ORDER
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
	bool tookOver, released;

end:
	do
	/* read the record, and take it over if it is free or its holder can no longer send */
	:: atomic { holdTicks[p] == 0 && !released ->
		observe(p);
		ownNumber[p] = 0;
		if
		:: writes < WRITES && (holder == NONE || EXPIRED(p)) ->
			tookOver = (holder != NONE);
			writes++;
			ticksSinceWrite[p] = 0;
			if
			:: put(p, NEXT, writes); adopt(p, tookOver)
			:: put(p, NEXT, writes); goto Unsure
			:: lateIndex[p] == NONE -> lateIndex[p] = index; lateNumber[p] = NEXT; lateWrite[p] = writes; goto Unsure
			fi
		:: else
		fi
	   }
	/* renew; the write fails if another process has written */
	:: atomic { holdTicks[p] > 0 && writes < WRITES ->
		writes++;
		ticksSinceWrite[p] = 0;
		if
		:: holder == p && seenIndex[p] == index -> put(p, number, writes); adopt(p, false)
		:: else -> holdTicks[p] = 0
		fi
	   }
	:: atomic { MAY_SEND(p) && order == 0 -> send(p);
#ifndef IGNORES
		order = ownNumber[p]
#endif
	   }
	/* the order arrives at the engine, which may be much later */
	:: atomic { order > 0 -> execute(p, order); order = 0 }
	:: atomic { holdTicks[p] > 0 && RELEASABLE(p) && order == 0 && holder == p && seenIndex[p] == index ->
		put(NONE, number, 0);
		holdTicks[p] = 0;
		ownNumber[p] = 0;
		released = true
	   }
	od;
Unsure:
	/* the answer was lost: read the record back, at any later time */
	atomic {
		if
		:: IS_OWN_WRITE(p, writes) -> adopt(p, tookOver)
		:: else -> observe(p)
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
