package io.persimmonreel.core.grant;

/** Counts requests, arrivals at replicas and messages of a simulated fleet. */
final class GrantResult {
    int mRequests;
    int mOnTime;
    int mServed;
    int mArrivals;
    int mRejected;
    int mMessages;

    double onTimeShare() {
        return (double) mOnTime / mRequests;
    }

    double servedShare() {
        return (double) mServed / mRequests;
    }

    double rejectedShare() {
        return (double) mRejected / Math.max(1, mArrivals);
    }

    double messagesPerRequest() {
        return (double) mMessages / mRequests;
    }
}
