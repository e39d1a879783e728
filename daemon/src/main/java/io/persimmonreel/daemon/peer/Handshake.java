package io.persimmonreel.daemon.peer;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.Step;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates the peer of one connection. Not thread safe.
 *
 * <p>Both sides send a {@link Hello} with a nonce, and then a {@link Proof}, which is a MAC with
 * the fleet secret over the sender's hello and the receiver's nonce. Since it covers the sender's
 * hello, a proof can't be reflected to its sender.
 */
final class Handshake {
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final List<byte[]> mSecrets;
    private final Hello mOwnHello;
    private Hello mPeerHello;
    private boolean mAuthenticated;

    /**
     * Creates the handshake of one connection.
     *
     * @param secrets the fleet secrets; proofs are made with the first and accepted with any
     * @param fleet the fleet's name
     * @param self the identity of this daemon
     */
    Handshake(final List<byte[]> secrets, final String fleet, final PeerIdentity self) {
        final byte[] nonce = new byte[Hello.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        mSecrets = List.copyOf(secrets);
        mOwnHello =
                new Hello(
                        Hello.PROTOCOL_VERSION,
                        fleet,
                        self.slot(),
                        self.incarnation().id(),
                        self.zone(),
                        nonce);
    }

    /**
     * Returns the hello to send when the connection opens.
     *
     * @return this daemon's hello
     */
    Hello hello() {
        return mOwnHello;
    }

    /**
     * Tells whether the peer is authenticated.
     *
     * @return true once {@link #onProof} has succeeded
     */
    boolean isAuthenticated() {
        return mAuthenticated;
    }

    /**
     * Checks the peer's hello.
     *
     * @param hello the hello
     * @return the proof to send in reply
     * @throws PeerException if the hello is unexpected, malformed or from another fleet
     */
    Proof onHello(final Hello hello) throws PeerException {
        if (mPeerHello != null) {
            throw rejection("second hello on the same connection");
        }
        if (hello.protocol() != Hello.PROTOCOL_VERSION) {
            throw rejection("protocol version " + hello.protocol() + " is not supported");
        }
        if (!mOwnHello.fleet().equals(hello.fleet())) {
            throw rejection("peer belongs to another fleet");
        }
        if (hello.nonce() == null || hello.nonce().length != Hello.NONCE_BYTES) {
            throw rejection("nonce has the wrong length");
        }
        if (hello.incarnation() == mOwnHello.incarnation()) {
            throw rejection("daemon is connected to itself");
        }
        mPeerHello = hello;
        return new Proof(mac(mSecrets.get(0), mOwnHello, hello.nonce()));
    }

    /**
     * Checks the peer's proof.
     *
     * @param proof the proof
     * @return the authenticated peer
     * @throws PeerException if the proof is invalid or unexpected
     */
    PeerIdentity onProof(final Proof proof) throws PeerException {
        if (mPeerHello == null || mAuthenticated) {
            throw rejection("proof is out of order");
        }
        if (!isValid(proof)) {
            throw rejection("proof is invalid");
        }
        mAuthenticated = true;
        return new PeerIdentity(
                new Incarnation(mPeerHello.incarnation()), mPeerHello.slot(), mPeerHello.zone());
    }

    private boolean isValid(final Proof proof) throws PeerException {
        boolean valid = false;
        for (final byte[] secret : mSecrets) {
            valid |=
                    proof.mac() != null
                            && MessageDigest.isEqual(
                                    proof.mac(), mac(secret, mPeerHello, mOwnHello.nonce()));
        }
        return valid;
    }

    private static byte[] mac(final byte[] secret, final Hello sender, final byte[] receiverNonce)
            throws PeerException {
        try {
            final Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
            mac.update(
                    ByteBuffer.allocate(Integer.BYTES * 2 + Long.BYTES)
                            .putInt(sender.protocol())
                            .putInt(sender.slot())
                            .putLong(sender.incarnation())
                            .array());
            mac.update(sender.nonce());
            mac.update(receiverNonce);
            mac.update(sender.fleet().getBytes(StandardCharsets.UTF_8));
            mac.update((byte) 0);
            return mac.doFinal(sender.zone().getBytes(StandardCharsets.UTF_8));
        } catch (final GeneralSecurityException e) {
            throw new PeerException(Step.AUTHENTICATE, "local", "HMAC can't be computed", e);
        }
    }

    private PeerException rejection(final String detail) {
        final String peer =
                mPeerHello == null ? "peer" : Long.toHexString(mPeerHello.incarnation());
        return new PeerException(Step.AUTHENTICATE, peer, detail, null);
    }
}
